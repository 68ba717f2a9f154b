package org.celerywalk.http.strict

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.ForwardingSource
import okio.buffer
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.nio.ByteBuffer
import javax.net.SocketFactory

/**
 * Fails each call whose response is malformed, see [ResponseSyntax], or that receives more bytes than are read.
 *
 * OkHttp reads the line before a chunk into memory, however long it is.
 */
public fun OkHttpClient.Builder.acceptOnlySoundResponses(): OkHttpClient.Builder =
    socketFactory(CheckingSocketFactory).addNetworkInterceptor(CheckingInterceptor)

private class CheckingSocket : Socket() {
    private val syntax = ResponseSyntax()
    private var unreadBytes = 0L
    private var failure: IOException? = null

    /** Expects the response to a request with [method]; throws an [IOException] if the connection can't be used. */
    @Synchronized
    fun expectResponse(method: String) {
        failure?.let { throw it }
        syntax.expectResponse(method)
        unreadBytes = 0
    }

    /** Notes that the reader of the response got a part of it. */
    @Synchronized
    fun recordRead() {
        unreadBytes = 0
    }

    override fun getInputStream(): InputStream = object : FilterInputStream(super.getInputStream()) {
        override fun read(): Int =
            `in`.read().also { if (it >= 0) check(ByteBuffer.wrap(byteArrayOf(it.toByte()))) }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int =
            `in`.read(bytes, offset, length).also { if (it > 0) check(ByteBuffer.wrap(bytes, offset, it)) }
    }

    @Synchronized
    private fun check(bytes: ByteBuffer) {
        if (failure == null) failure = findFailure(bytes)
        failure?.let { throw it }
    }

    private fun findFailure(bytes: ByteBuffer): IOException? {
        unreadBytes += bytes.remaining()
        return try {
            syntax.check(bytes)
            ResponseTooLargeException("more than $MAX_UNREAD_BYTES bytes belong to no part of a body")
                .takeIf { unreadBytes > MAX_UNREAD_BYTES }
        } catch (e: MalformedResponseException) {
            e
        }
    }

    private companion object {
        // More than the largest head and what OkHttp reads at a time.
        const val MAX_UNREAD_BYTES = 64L * 1024
    }
}

private object CheckingSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = CheckingSocket()

    override fun createSocket(host: String, port: Int): Socket = unconnectedOnly()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
        unconnectedOnly()

    override fun createSocket(host: InetAddress, port: Int): Socket = unconnectedOnly()

    override fun createSocket(host: InetAddress, port: Int, localHost: InetAddress, localPort: Int): Socket =
        unconnectedOnly()

    private fun unconnectedOnly(): Nothing = throw UnsupportedOperationException("OkHttp connects sockets itself")
}

private object CheckingInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = checkNotNull(chain.connection()).socket() as CheckingSocket
        socket.expectResponse(chain.request().method)
        val response = chain.proceed(chain.request())
        socket.recordRead()
        val body = response.body
        val source = object : ForwardingSource(body.source()) {
            override fun read(sink: Buffer, byteCount: Long): Long =
                super.read(sink, byteCount).also { socket.recordRead() }
        }
        return response.newBuilder()
            .body(source.buffer().asResponseBody(body.contentType(), body.contentLength())).build()
    }
}
