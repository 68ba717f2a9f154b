package org.celerywalk.route

import kotlin.time.Duration

/**
 * Sends the requests of a host and path prefix to services.
 *
 * @property prefix path prefix that begins and ends with a slash.
 * @property targets services and their share of the requests; never empty.
 * @property timeout longest time until the final answer.
 * @property latencyTarget time within which the answer, or the first event of a stream, is expected.
 * @property priority rank of the requests; 0 is the most urgent.
 * @property maxAttempts largest number of endpoints that may run one request.
 * @property anonymous true if requests need no key.
 * @property resumable true if a stream may go on at another endpoint after its last event.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val targets: List<RouteTarget>,
    val timeout: Duration,
    val latencyTarget: Duration,
    val priority: Int,
    val maxAttempts: Int,
    val anonymous: Boolean,
    val resumable: Boolean,
) {
    /** True if a request that may have run can be sent once more. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)
}

/** Names a service with its share of a route's requests. */
public data class RouteTarget(val service: String, val weight: Int)
