package org.celerywalk.booking

import java.util.Base64

/**
 * Record of a booking in the table.
 *
 * @property barred attempts that must never run. They are kept when another attempt claims the booking, because a
 *   barred attempt may arrive after that claim was barred too.
 */
internal data class BookingRecord(val state: BookingState, val barred: List<BarredAttempt> = emptyList()) {
    fun encode(): String {
        val bars = barred.joinToString(" ") { "${it.attemptId}@${it.expiresAtMillis}" }
        return (listOf(bars) + state.toLines()).joinToString("\n")
    }

    fun isBarred(attemptId: String): Boolean = barred.any { it.attemptId == attemptId }

    /** Returns a barred record with [attempt] added, and without attempts that expired more than 60 s ago. */
    fun withBarredAttempt(attempt: BarredAttempt, nowMillis: Long): BookingRecord = BookingRecord(
        BookingState.Barred,
        barred.filter { it.expiresAtMillis > nowMillis - BAR_RETENTION_MILLIS && it != attempt } + attempt,
    )

    companion object {
        // Exceeds the clock skew between instances: after this time an attempt has expired on all instances.
        const val BAR_RETENTION_MILLIS = 60_000L

        fun decode(text: String): BookingRecord {
            val lines = text.split("\n")
            val barred = lines[0].split(" ").filter { it.isNotEmpty() }.map {
                BarredAttempt(it.substringBeforeLast("@"), it.substringAfterLast("@").toLong())
            }
            return BookingRecord(BookingState.parse(lines.drop(1)), barred)
        }
    }
}

/** State of a booking; only in the state [Barred] may an attempt claim it again. */
internal sealed interface BookingState {
    fun toLines(): List<String>

    data class Claimed(val attemptId: String, val agentIncarnation: String, val digest: String) : BookingState {
        override fun toLines() = listOf("CLAIMED", attemptId, agentIncarnation, digest)
    }

    data class Done(val attemptId: String, val digest: String, val answer: BookingAnswer) : BookingState {
        override fun toLines() = listOf("DONE", attemptId, digest, "${answer.status}", encode(answer.body)) +
            answer.headers.flatMap { listOf(encode(it.first.toByteArray()), encode(it.second.toByteArray())) }
    }

    data class Unknown(val attemptId: String, val digest: String) : BookingState {
        override fun toLines() = listOf("UNKNOWN", attemptId, digest)
    }

    data object Barred : BookingState {
        override fun toLines() = listOf("BARRED")
    }

    companion object {
        private const val ATTEMPT = 1
        private const val INCARNATION = 2
        private const val CLAIMED_DIGEST = 3
        private const val DIGEST = 2
        private const val STATUS = 3
        private const val BODY = 4
        private const val HEADERS = 5

        fun parse(lines: List<String>): BookingState = when (lines[0]) {
            "CLAIMED" -> Claimed(lines[ATTEMPT], lines[INCARNATION], lines[CLAIMED_DIGEST])
            "DONE" -> parseDone(lines)
            "UNKNOWN" -> Unknown(lines[ATTEMPT], lines[DIGEST])
            "BARRED" -> Barred
            else -> error("given booking state '${lines[0]}', expected CLAIMED, DONE, UNKNOWN or BARRED")
        }

        private fun parseDone(lines: List<String>): Done {
            val headers = lines.drop(HEADERS).chunked(2) { (name, value) -> text(name) to text(value) }
            val answer = BookingAnswer(lines[STATUS].toInt(), headers, decode(lines[BODY]))
            return Done(lines[ATTEMPT], lines[DIGEST], answer)
        }

        private fun encode(bytes: ByteArray) = Base64.getEncoder().encodeToString(bytes)

        private fun decode(text: String): ByteArray = Base64.getDecoder().decode(text)

        private fun text(encoded: String) = decode(encoded).decodeToString()
    }
}
