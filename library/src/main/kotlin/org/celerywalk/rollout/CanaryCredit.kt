package org.celerywalk.rollout

/**
 * Limits the requests that one gateway sends to the new version of a service to a share of those that it sends there.
 *
 * Each route has its own credit, so that each gets its share. A credit starts at 0, is increased by each request to an
 * old replica and is spent by each request to the new version. The requests of all gateways together therefore stay
 * within the share, whatever the gateways know of each other. Used by one thread at a time.
 *
 * @param share greatest share of all gateways' requests to the service, from 0 to 1.
 */
public class CanaryCredit(share: Double) {
    private val gain = (share * USED_SHARE).let { it / (1 - it) }
    private val credits = HashMap<String, Double>()

    /** Records a request of [route] to an old replica. Only the first attempt of a request counts. */
    public fun recordOldRequest(route: String) {
        credits[route] = minOf((credits[route] ?: 0.0) + gain, MAX_CREDIT)
    }

    /** Takes the credit for a request of [route] to the new version, or returns false if there is too little. */
    public fun tryTake(route: String): Boolean {
        val credit = credits[route] ?: 0.0
        if (credit < 1) return false
        credits[route] = credit - 1
        return true
    }

    /** Gives back the credit for a request of [route] that was not sent. */
    public fun giveBack(route: String) {
        credits[route] = (credits[route] ?: 0.0) + 1
    }

    private companion object {
        // The rest of the share is kept for requests that old replicas refuse and for counts that differ by one.
        const val USED_SHARE = 0.8

        // Credit that was saved up while no replica of the new version accepted requests is not spent in one burst.
        const val MAX_CREDIT = 2.0
    }
}
