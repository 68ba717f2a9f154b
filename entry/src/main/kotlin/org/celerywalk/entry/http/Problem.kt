package org.celerywalk.entry.http

import org.celerywalk.error.Execution
import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Error response in the format of the chat completions API.
 *
 * @property type category of the error, for example `invalid_request_error`.
 * @property retryAfter time after which the same request may succeed, or null if it is not known.
 */
internal data class Problem(
    val status: Int,
    val type: String,
    val code: String,
    val message: String,
    val execution: Execution = Execution.NOT_RUN,
    val retryAfter: Duration? = null,
) {
    /** Value of the `Retry-After` header in whole seconds, rounded up and at least 1. */
    val retryAfterSeconds: Long? get() = retryAfter?.let { max(1, ceil(it.toDouble(DurationUnit.SECONDS)).toLong()) }

    fun toJson(): ByteArray = Json.encode(
        mapOf(
            "error" to mapOf(
                "message" to message,
                "type" to type,
                "code" to code,
                "execution" to execution.wireName,
            ),
        ),
    )
}

internal fun invalidRequest(code: String, message: String, status: Int = HttpStatus.BAD_REQUEST) =
    Problem(status, "invalid_request_error", code, message)

internal fun unavailable(code: String, message: String, retryAfter: Duration) =
    Problem(HttpStatus.SERVICE_UNAVAILABLE, "unavailable_error", code, message, Execution.NOT_RUN, retryAfter)
