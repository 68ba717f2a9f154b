package org.celerywalk.gateway

import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * Bytes of one response as its caller received them.
 *
 * @property end how the bytes ended.
 */
internal data class ReceivedResponse(val text: String, val end: End) {
    /** How the bytes of a connection ended. */
    enum class End { CLOSED, RESET, SILENT }

    private val head = text.substringBefore("\r\n\r\n").lowercase()
    private val body = text.substringAfter("\r\n\r\n", "")
    private val length = Regex("\ncontent-length: *(\\d+)").find(head)?.groupValues?.get(1)?.toInt()

    val isSuccess: Boolean get() = Regex("http/1\\.[01] 2\\d\\d .*").matches(head.substringBefore("\r\n"))

    /** True if the framing of the response says that the body is complete. */
    val isComplete: Boolean
        get() = when {
            "\ntransfer-encoding: chunked" in head -> body.endsWith("0\r\n\r\n")
            length != null -> body.length == length
            else -> end == End.CLOSED
        }

    companion object {
        /** Reads from [socket] until its end, or until it is silent for its timeout. */
        fun read(socket: Socket): ReceivedResponse {
            val text = StringBuilder()
            val end = try {
                val input = socket.getInputStream()
                generateSequence { input.read().takeIf { it >= 0 } }.forEach { text.append(it.toChar()) }
                End.CLOSED
            } catch (_: SocketTimeoutException) {
                End.SILENT
            } catch (_: IOException) {
                End.RESET
            }
            return ReceivedResponse(text.toString(), end)
        }
    }
}
