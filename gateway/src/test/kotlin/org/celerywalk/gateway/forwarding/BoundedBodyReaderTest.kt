package org.celerywalk.gateway.forwarding

import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.ForwardingSource
import okio.buffer
import org.celerywalk.limit.MemoryBudget
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against memory that is reserved for a body which is lost, while its request goes on at another endpoint. */
class BoundedBodyReaderTest {
    private val budget = MemoryBudget(BODY_BYTES.toLong())
    private val reader = BoundedBodyReader(budget)

    @Test
    fun `a lost body leaves its memory to the next one`() {
        assertFailsWith<IOException> { reader.read(response("POST", BODY_BYTES / 2)) }
        assertEquals(BODY_BYTES, reader.read(response("POST", BODY_BYTES)).size)
        assertFalse(budget.tryReserveBytes(1), "the body that was read has no memory")
        reader.close()
        assertTrue(budget.tryReserveBytes(BODY_BYTES))
    }

    @Test
    fun `a response without the body that its head describes needs no memory`() {
        assertTrue(budget.tryReserveBytes(BODY_BYTES))
        assertEquals(0, reader.read(response("HEAD", 0)).size)
    }

    // Declares BODY_BYTES and ends with an error after sentBytes, unless that is all.
    private fun response(method: String, sentBytes: Int): Response {
        val source = object : ForwardingSource(Buffer().write(ByteArray(sentBytes))) {
            override fun read(sink: Buffer, byteCount: Long): Long {
                val count = super.read(sink, byteCount)
                if (count < 0 && sentBytes in 1 until BODY_BYTES) throw IOException("broken off")
                return count
            }
        }
        val body = if (method == "POST") ByteArray(0) else null
        return Response.Builder()
            .request(Request.Builder().url("http://127.0.0.1/").method(method, body?.toRequestBody()).build())
            .protocol(Protocol.HTTP_1_1).code(OK).message("OK")
            .body(source.buffer().asResponseBody(null, BODY_BYTES.toLong())).build()
    }

    private companion object {
        const val OK = 200
        const val BODY_BYTES = 16 * 1024
    }
}
