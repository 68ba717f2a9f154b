package org.celerywalk.rollout

/** What a [RolloutVerdict] has found: the new version is worse on [route] (null: over all routes) by [signal]. */
public data class RolloutFinding(val route: String?, val signal: String, val evidence: RouteEvidence)

/**
 * Decides from the merged evidence of all gateways whether the new version is worse than the old replicas.
 *
 * Both arms are compared on the same route and at the same time, so that a disruption of the whole fleet is not
 * mistaken for a bad version. Failures and slow responses are tested separately, per route and over all routes. While
 * no request goes to old replicas, their last shares are the standard. Used by one thread at a time.
 */
public class RolloutVerdict {
    private class RouteTest {
        val failures = SequentialTest()
        val slow = SequentialTest()
        var judged = RouteEvidence()

        fun update(evidence: RouteEvidence) {
            val change = evidence - judged
            judged = evidence
            if (change.old.responses == 0L && change.new.responses == 0L) return
            failures.add(change.old.responses, change.old.failures, change.new.responses, change.new.failures)
            slow.add(change.old.responses, change.old.slow, change.new.responses, change.new.slow)
        }
    }

    private val tests = HashMap<String?, RouteTest>()

    /** The first evidence that the new version is worse, or null. It stays, whatever evidence follows. */
    public var finding: RolloutFinding? = null
        private set

    /**
     * True if the evidence on each route shows that the new version is not worse, so that no more of it has to be
     * awaited.
     */
    public val isSound: Boolean
        get() = tests.isNotEmpty() && tests.values.all { it.failures.isSound && it.slow.isSound }

    /** Judges the [totals] by route since the beginning of the roll-out. */
    public fun update(totals: Map<String, RouteEvidence>) {
        totals.forEach { (route, evidence) -> judge(route, evidence) }
        if (totals.size > 1) judge(null, totals.values.reduce(RouteEvidence::plus))
    }

    private fun judge(route: String?, evidence: RouteEvidence) {
        val test = tests.getOrPut(route) { RouteTest() }
        test.update(evidence)
        if (finding != null) return
        val signal = when {
            test.failures.isWorse -> "failures"
            test.slow.isWorse -> "slow"
            else -> return
        }
        finding = RolloutFinding(route, signal, evidence)
    }
}
