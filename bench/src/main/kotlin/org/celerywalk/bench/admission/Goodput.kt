package org.celerywalk.bench.admission

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts of the requests of a run, by account and kind. */
internal class Goodput {
    private data class Group(val account: String, val kind: Kind)

    private val offered = HashMap<Group, Int>()
    private val onTime = HashMap<Group, Int>()

    /** Value of the first tokens within their target, per second. */
    val valuePerSecond: Double
        get() = onTime.entries.sumOf { (group, count) -> count * group.kind.value } /
            Mix.RUN_TIME.toDouble(DurationUnit.SECONDS)

    fun recordOffered(call: Call) {
        offered.merge(Group(call.account, call.kind), 1, Int::plus)
    }

    fun recordFirstToken(call: Call, time: Duration) {
        if (time <= call.kind.target) onTime.merge(Group(call.account, call.kind), 1, Int::plus)
    }

    /** Adds the counts of another run. */
    fun add(other: Goodput) {
        other.offered.forEach { (group, count) -> offered.merge(group, count, Int::plus) }
        other.onTime.forEach { (group, count) -> onTime.merge(group, count, Int::plus) }
    }

    /** Returns the share of the offered requests whose first token was in time, or null if none was offered. */
    fun share(account: String? = null, kind: Kind? = null): Double? {
        val count = { counts: Map<Group, Int> ->
            counts.entries.sumOf { (group, count) -> if (matches(group, account, kind)) count else 0 }
        }
        return count(offered).takeIf { it > 0 }?.let { count(onTime).toDouble() / it }
    }

    private fun matches(group: Group, account: String?, kind: Kind?) =
        (account == null || group.account == account) && (kind == null || group.kind == kind)
}
