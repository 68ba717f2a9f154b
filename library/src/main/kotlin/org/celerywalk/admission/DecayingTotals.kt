package org.celerywalk.admission

import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Sums amounts by key; an amount counts half after [halfLife]. Not thread-safe.
 *
 * Totals are kept in units that grow with time, so that neither an addition nor a query changes the totals of other
 * keys.
 */
internal class DecayingTotals<K : Any>(
    private val timeSource: TimeSource.WithComparableMarks,
    private val halfLife: Duration,
) {
    private val totals = HashMap<K, Double>()
    private var unitMark = timeSource.markNow()
    private var scaledSum = 0.0

    /** Sum of the totals of all keys. */
    val sum: Double get() = scaledSum / scale()

    operator fun get(key: K): Double = (totals[key] ?: 0.0) / scale()

    /** Adds [amount], which may be negative; a total does not fall below 0. */
    fun add(key: K, amount: Double) {
        val previous = totals[key] ?: 0.0
        val total = (previous + amount * scale()).coerceAtLeast(0.0)
        totals[key] = total
        scaledSum = (scaledSum + total - previous).coerceAtLeast(0.0)
    }

    /** Describes the shares of the largest totals, such as `a:61%,b:20%`. */
    fun describe(): String {
        val sum = sum.coerceAtLeast(1.0)
        return entries().take(DESCRIBED_KEYS)
            .joinToString(",") { (key, total) -> "$key:${(total / sum * PERCENT).roundToInt()}%" }
    }

    /** Returns the totals of all keys, the largest first. */
    fun entries(): List<Pair<K, Double>> {
        val scale = scale()
        return totals.map { (key, total) -> key to total / scale }.sortedByDescending { it.second }
    }

    private fun scale(): Double {
        if (unitMark.elapsedNow() / halfLife > MAX_HALF_LIVES) changeUnit()
        return 2.0.pow(unitMark.elapsedNow() / halfLife)
    }

    private fun changeUnit() {
        val factor = 2.0.pow(unitMark.elapsedNow() / halfLife)
        unitMark = timeSource.markNow()
        totals.replaceAll { _, total -> total / factor }
        totals.values.removeIf { it < MIN_TOTAL }
        scaledSum = totals.values.sum()
    }

    private companion object {
        // Totals stay far below the largest number of type Double.
        const val MAX_HALF_LIVES = 60.0
        const val MIN_TOTAL = 1e-3
        const val DESCRIBED_KEYS = 3
        const val PERCENT = 100
    }
}
