package org.celerywalk.booking

import java.net.URLEncoder

/** Identity of a booking: callers of one client account retry it with the same [idempotencyKey]. */
public data class BookingKey(
    public val clientAccount: String,
    public val service: String,
    public val idempotencyKey: String,
) {
    /** Key of the booking's record in the table. The parts are URL-encoded, so that a slash in one is not ambiguous. */
    public val tableKey: String
        get() = listOf(clientAccount, service, idempotencyKey).joinToString("/", "booking/") { escape(it) }

    private fun escape(part: String) = URLEncoder.encode(part, Charsets.UTF_8)
}
