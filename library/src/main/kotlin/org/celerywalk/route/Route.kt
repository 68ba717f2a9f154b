package org.celerywalk.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rule that sends the requests for a host and path prefix to one or more services.
 *
 * @property prefix path prefix, with a leading and a trailing slash.
 * @property targets services with their traffic weights; never empty.
 * @property timeout maximum time until the final answer.
 * @property latencyTarget target for the time until the answer or, for a stream, until its first event.
 * @property gapTarget target for the longest time between two events of a stream.
 * @property priority urgency rank of the requests; 0 is the most urgent.
 * @property maxAttempts maximum number of endpoints that may run one request.
 * @property allowsAnonymous true if requests need no key.
 * @property isResumable true if a stream may continue at another endpoint after its last event.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val targets: List<RouteTarget>,
    val timeout: Duration,
    val latencyTarget: Duration,
    val gapTarget: Duration,
    val priority: Int,
    val maxAttempts: Int,
    val allowsAnonymous: Boolean,
    val isResumable: Boolean,
) {
    /** Whether a request that may already have run can be sent again. */
    val isRetryable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && isResumable)

    /** Time without an event after which a stream counts as stalled; many times what is on time for the route. */
    val stallTimeout: Duration
        get() = maxOf(MIN_STALL_TIMEOUT, latencyTarget * LATENCY_TARGETS, gapTarget * GAP_TARGETS)

    private companion object {
        // Callers abandon a stream after 4 latency or 8 gap targets. A stalled stream is resumed shortly before.
        const val LATENCY_TARGETS = 3.6
        const val GAP_TARGETS = 7.2

        // A full replica may pause for nearly this long.
        val MIN_STALL_TIMEOUT = 2800.milliseconds
    }
}

/** Service with its weight, relative to the sum of the weights of all targets of the route. */
public data class RouteTarget(val service: String, val weight: Int)
