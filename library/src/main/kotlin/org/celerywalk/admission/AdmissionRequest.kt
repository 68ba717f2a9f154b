package org.celerywalk.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A request that asks for capacity of a service. Two requests are equal only if they are the same object.
 *
 * @property account name of the client account.
 * @property route name of the route.
 * @property rank urgency; 0 is the most urgent.
 * @property work prompt tokens to read plus KV cache tokens to hold.
 * @property arrivedAt time at which the request arrived at this process.
 * @property latestStart time after which a start can no longer meet the request's latency target.
 */
public class AdmissionRequest(
    public val account: String,
    public val route: String,
    public val rank: Int,
    public val work: Long,
    public val arrivedAt: ComparableTimeMark,
    public val latestStart: ComparableTimeMark,
) {
    /** Maximum time that the request waits: the caller's time runs, and the estimate becomes older. */
    public val maxWait: Duration get() = (latestStart - arrivedAt) * WAIT_SHARE

    private companion object {
        // The latest start is within the latency target, so the wait is at most a quarter of the target.
        const val WAIT_SHARE = 0.25
    }
}
