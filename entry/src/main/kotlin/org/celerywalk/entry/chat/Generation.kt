package org.celerywalk.entry.chat

import org.celerywalk.account.Reservation
import org.celerywalk.configuration.ModelEntry
import org.celerywalk.key.Caller

/** Admitted chat request that must end by [deadlineMillis], in milliseconds since the epoch. */
internal data class Generation(
    val requestId: String,
    val caller: Caller,
    val request: ChatRequest,
    val model: ModelEntry,
    val reservation: Reservation,
    val deadlineMillis: Long,
) {
    /** Priority at agents; a larger value is more urgent. */
    val priority: Int get() = if (request.isInteractive) INTERACTIVE_PRIORITY else 0

    private companion object {
        const val INTERACTIVE_PRIORITY = 1
    }
}
