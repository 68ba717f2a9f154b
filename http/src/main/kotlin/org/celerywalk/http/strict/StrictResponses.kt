package org.celerywalk.http.strict

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.ForwardingSource
import okio.buffer
import java.io.FilterInputStream
import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.Socket
import java.nio.ByteBuffer
import javax.net.SocketFactory

/**
 * Fails each call whose response is malformed, see [ResponseSyntax], or that receives more bytes than are read.
 *
 * Also fails a call if bytes of the response arrive, or the connection is reset, while the request is being written,
 * and the end of the response can't be told from the end of the connection.
 *
 * OkHttp reads the line before a chunk into memory, however long it is.
 *
 * @param buffers buffers of each connection, or null for the choice of the operating system.
 */
public fun OkHttpClient.Builder.acceptOnlySoundResponses(buffers: SocketBuffers? = null): OkHttpClient.Builder =
    socketFactory(CheckingSocketFactory(buffers)).addNetworkInterceptor(CheckingInterceptor)

private class CheckingSocket : Socket() {
    private val syntax = ResponseSyntax()
    private var unreadBytes = 0L
    private var failure: IOException? = null

    // Each request is written and its response read by one thread at a time.
    private var requestWrites = 0
    private var isAnsweredEarly = false

    /** Expects the response to a request with [method]; throws an [IOException] if the connection can't be used. */
    @Synchronized
    fun expectResponse(method: String) {
        failure?.let { throw it }
        syntax.expectResponse(method)
        unreadBytes = 0
        requestWrites = 0
        isAnsweredEarly = false
    }

    /** Notes that the reader of the response got a part of it. */
    @Synchronized
    fun recordRead() {
        unreadBytes = 0
    }

    override fun getInputStream(): InputStream = object : FilterInputStream(super.getInputStream()) {
        override fun read(): Int = `in`.read().also {
            if (it >= 0) check(ByteBuffer.wrap(byteArrayOf(it.toByte()))) else checkEnd()
        }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int =
            `in`.read(bytes, offset, length).also {
                if (it > 0) check(ByteBuffer.wrap(bytes, offset, it)) else if (it < 0) checkEnd()
            }
    }

    override fun getOutputStream(): OutputStream {
        val input = super.getInputStream()
        return object : FilterOutputStream(super.getOutputStream()) {
            override fun write(bytes: ByteArray, offset: Int, length: Int) {
                // Nothing can have arrived before the first write, which is the only one of most requests.
                if (requestWrites++ > 0 && !isAnsweredEarly) isAnsweredEarly = input.available() > 0
                try {
                    out.write(bytes, offset, length)
                } catch (e: IOException) {
                    isAnsweredEarly = true
                    throw e
                }
            }
        }
    }

    // The failed write reports the reset of a connection, and the reads after it return the bytes that had arrived and
    // then a regular end, which therefore doesn't prove that the body is complete. OkHttp does not read as far as the
    // end of the connection if the body has a length or chunks.
    private fun checkEnd() {
        if (isAnsweredEarly) throw IOException("the connection ended while the request was being written")
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

private class CheckingSocketFactory(private val buffers: SocketBuffers?) : SocketFactory() {
    override fun createSocket(): Socket = CheckingSocket().also {
        if (buffers != null) {
            it.receiveBufferSize = buffers.receiveBytes
            it.sendBufferSize = buffers.sendBytes
        }
    }

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
