package org.celerywalk.rollout

import kotlin.math.ln

/**
 * Sequential probability ratio test of the share of bad responses (A. Wald, 1945), repeated from the point at which the
 * evidence was most in favour of the new version (CUSUM, E. S. Page, 1954), so that a fault that begins late is found
 * as fast as one that begins at once.
 *
 * Hypotheses: the new version has the bad share of the old replicas, or a share greater by [SHARE_DIFFERENCE]. Used by
 * one thread at a time.
 */
internal class SequentialTest {
    private val recentOld = RecentShare(RECENT_RESPONSES)
    private val latestOld = RecentShare(LATEST_RESPONSES)

    /** Logarithm of the likelihood ratio since it was last 0. */
    var score: Double = 0.0
        private set

    /** Logarithm of the likelihood ratio of all responses. */
    var totalScore: Double = 0.0
        private set

    /**
     * Share of bad responses of the old replicas.
     *
     * The greater of two windows counts: in a disruption of the whole fleet, the short window follows at once, and
     * after it the long one still covers responses that were late.
     */
    val expectedShare: Double get() = maxOf(recentOld.share, latestOld.share, MIN_SHARE).coerceAtMost(MAX_SHARE)

    /** True if the new version is worse, with a probability of [FALSE_ROLLBACK_RATE] of an error. */
    val isWorse: Boolean get() = score >= WORSE_SCORE

    /** True if the new version is as good as the old replicas, with a probability of [MISSED_RATE] of an error. */
    val isSound: Boolean get() = totalScore <= SOUND_SCORE

    /** Adds responses of the same time: [oldBad] of [old] at old replicas, [newBad] of [new] at the new version. */
    fun add(old: Long, oldBad: Long, new: Long, newBad: Long) {
        recentOld.add(old, oldBad)
        latestOld.add(old, oldBad)
        val share = expectedShare
        val worseShare = minOf(share + SHARE_DIFFERENCE, MAX_WORSE_SHARE)
        val change = newBad * ln(worseShare / share) + (new - newBad) * ln((1 - worseShare) / (1 - share))
        score = maxOf(0.0, score + change)
        totalScore += change
    }

    /** Share of bad responses among about the last [size]. */
    private class RecentShare(private val size: Int) {
        private var responses = 0.0
        private var bad = 0.0

        val share: Double get() = if (responses == 0.0) 0.0 else bad / responses

        fun add(count: Long, badCount: Long) {
            val kept = (1 - count.toDouble() / size).coerceIn(0.0, 1.0)
            responses = responses * kept + count
            bad = bad * kept + badCount
        }
    }

    companion object {
        const val FALSE_ROLLBACK_RATE = 0.001
        const val MISSED_RATE = 0.01
        const val SHARE_DIFFERENCE = 0.1

        // ln(1 / FALSE_ROLLBACK_RATE) for one test, and ln(150) for the repeated starts, routes and signals.
        private const val WORSE_SCORE = 12.0

        // ln(MISSED_RATE).
        private const val SOUND_SCORE = -4.6
        private const val RECENT_RESPONSES = 400
        private const val LATEST_RESPONSES = 50

        // At a lower share, the few requests that end when one replica crashes would be taken for a bad version.
        private const val MIN_SHARE = 0.02
        private const val MAX_SHARE = 0.85
        private const val MAX_WORSE_SHARE = 0.95
    }
}
