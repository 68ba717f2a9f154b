package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Crash of an endpoint that was alive at [aliveAt] and whose end was noticed at [lostAt]. */
internal data class Crash(val aliveAt: ComparableTimeMark, val lostAt: ComparableTimeMark) {
    /** Returns this crash with the bounds of [other], another observation of it with the same clock. */
    fun narrowedBy(other: Crash): Crash =
        copy(aliveAt = maxOf(aliveAt, other.aliveAt), lostAt = minOf(lostAt, other.lostAt))

    fun toAges(): CrashAges = CrashAges(lostAt.elapsedNow(), aliveAt.elapsedNow())

    companion object {
        /** Returns the crash that was observed [ages] before [now]. */
        fun of(ages: CrashAges, now: ComparableTimeMark): Crash {
            // A time in the future would outweigh all evidence until then.
            val sinceLoss = ages.sinceLoss.coerceAtLeast(Duration.ZERO)
            return Crash(now - maxOf(ages.sinceAlive, sinceLoss), now - sinceLoss)
        }
    }
}

/**
 * Returns the largest set of crashes each of which certainly happened after the one before it, in this order.
 *
 * A failure that takes down several endpoints at once comes after they all were alive and before the first loss, so
 * that no two of its crashes are in the set, however late the losses are noticed.
 */
internal fun Map<String, Crash>.separate(): Map<String, Crash> {
    val separate = LinkedHashMap<String, Crash>()
    var last: Crash? = null
    entries.sortedBy { it.value.lostAt }.forEach { (endpointStart, crash) ->
        if (last?.let { crash.aliveAt >= it.lostAt } ?: true) {
            separate[endpointStart] = crash
            last = crash
        }
    }
    return separate
}
