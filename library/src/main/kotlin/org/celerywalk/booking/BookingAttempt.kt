package org.celerywalk.booking

/**
 * Request to one agent to run a booking.
 *
 * @property attemptId unique for each attempt of an entry.
 * @property agentIncarnation the only agent incarnation that may run the attempt.
 * @property digest hexadecimal SHA-256 of method, path and body; a booking keeps the digest of its first request.
 * @property expiresAtMillis wall-clock time after which the attempt must not start, milliseconds since the epoch.
 */
public data class BookingAttempt(
    public val booking: BookingKey,
    public val attemptId: String,
    public val agentIncarnation: String,
    public val digest: String,
    public val expiresAtMillis: Long,
)

/**
 * Attempt that must never run.
 *
 * @property expiresAtMillis time from which the attempt is refused as expired even without a bar, in milliseconds since
 *   the epoch.
 */
public data class BarredAttempt(public val attemptId: String, public val expiresAtMillis: Long)
