package org.celerywalk.http.strict

import okhttp3.MediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okio.BufferedSink
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a part of a response that arrives while the request is being written and counts as complete. */
class EarlyResponseTest {
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).acceptOnlySoundResponses().build()

    @Test
    fun `a response without a length that ends during the upload is no response`() =
        EarlyServer.responses("part").getValue(false).forEach { response ->
            listOf(EarlyServer.End.RESET, EarlyServer.End.HALF_CLOSE).forEach { assertAnswers(null, response, it) }
        }

    @Test
    fun `a response that its framing shows to be complete is one, although the upload is not`() =
        EarlyServer.responses("whole").getValue(true).forEach { response ->
            EarlyServer.End.entries.forEach { assertAnswers("whole", response, it) }
        }

    @Test
    fun `a response that is shorter than its framing is no response`() =
        EarlyServer.responses("whole").getValue(true).forEach { response ->
            EarlyServer.End.entries.forEach { assertAnswers(null, response.removeSuffix("\r\n").dropLast(1), it) }
        }

    private fun assertAnswers(expected: String?, response: String, end: EarlyServer.End) =
        listOf(true, false).forEach { isLengthKnown ->
            val answer = EarlyServer(response, end).use { send(it.url, isLengthKnown) }
            assertEquals(expected, answer, "$end after $response, length of the request known: $isLengthKnown")
        }

    private fun send(url: String, isLengthKnown: Boolean): String? = try {
        val request = Request.Builder().url(url).post(Upload(isLengthKnown)).build()
        client.newCall(request).execute().use { String(it.readBody(MAX_BYTES)) }
    } catch (_: IOException) {
        null
    }

    private class Upload(private val isLengthKnown: Boolean) : RequestBody() {
        private val content = ByteArray(EarlyServer.LARGE_BODY_BYTES) { 'a'.code.toByte() }
            .also { it[it.size - 1] = EarlyServer.LAST_BYTE.toByte() }

        override fun contentType(): MediaType? = null

        override fun contentLength(): Long = if (isLengthKnown) content.size.toLong() else -1

        override fun writeTo(sink: BufferedSink) {
            sink.write(content)
        }
    }

    private companion object {
        const val MAX_BYTES = 1_000L
    }
}
