package org.celerywalk.agent

import arrow.core.Either
import org.celerywalk.routing.FairQueue
import org.celerywalk.routing.FairQueueSettings
import org.celerywalk.routing.QueueFull
import org.celerywalk.routing.QueuedWork

/**
 * Queues attempts for one engine and counts the work that was sent to it.
 *
 * @param capacity returns the number of generations that the engine runs at the same time.
 */
internal class ReplicaLoad(maxQueued: Int, private val capacity: () -> Int) {
    private val queue = FairQueue<Generation>(FairQueueSettings(maxItemsPerAccount = maxQueued))

    // The load that the engine reports lags behind, so the agent also counts the work that it has sent.
    private var sentPrefillTokens = 0L
    private var runningCount = 0

    fun offer(work: QueuedWork<Generation>): Either<QueueFull, Unit> = queue.offer(work).also { startQueued() }

    fun removeQueued(clientAccount: String, id: String) {
        queue.remove(clientAccount, id)
    }

    /** Starts queued attempts while the engine has capacity. */
    fun startQueued() {
        generateSequence { pollWithinCapacity() }.forEach { it.content.start() }
    }

    @Synchronized
    private fun pollWithinCapacity(): QueuedWork<Generation>? =
        if (runningCount < capacity()) queue.poll()?.also { runningCount++ } else null

    /** Counts the [tokens] of a sent prompt until [removePrefillTokens]. */
    @Synchronized
    fun addPrefillTokens(tokens: Int) {
        sentPrefillTokens += tokens
    }

    /** Stops counting the [tokens] of a prompt whose prefill has ended. */
    @Synchronized
    fun removePrefillTokens(tokens: Int) {
        sentPrefillTokens -= tokens
    }

    /** Ends one attempt that was started by [startQueued] and starts further queued attempts. */
    fun removeRunning() {
        synchronized(this) { runningCount-- }
        startQueued()
    }

    /** Returns the tokens ahead of a new request; [reportedTokens] is the number that the engine reported. */
    @Synchronized
    fun queuedTokens(reportedTokens: Long): Long = maxOf(reportedTokens, sentPrefillTokens) + queue.queuedTokens

    /** Returns the number of running generations; [reportedCount] is the number that the engine reported. */
    @Synchronized
    fun runningGenerations(reportedCount: Int): Int = maxOf(reportedCount, runningCount)
}
