package org.celerywalk.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.error.StepError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Bounds of a [FairQueue].
 *
 * @property maxItemsPerAccount maximum number of queued requests of one client account.
 * @property maxTokensPerAccount maximum number of queued tokens of one client account; a larger request is accepted if
 *   the account has no other. The default is about 10 s of work: an account above its rate is told to retry instead of
 *   making the queue look long to entries.
 * @property crossAccountTokensPerPriority tokens of other client accounts that each priority level may overtake.
 * @property withinAccountTokensPerPriority tokens of the same client account that each priority level may overtake.
 *   Both numbers are finite, so urgent requests cannot starve other requests.
 * @property initialTokensPerSecond drain rate that is assumed until one is measured; used for retry times only.
 */
public data class FairQueueSettings(
    public val maxItemsPerAccount: Int = 256,
    public val maxTokensPerAccount: Long = 200_000,
    public val crossAccountTokensPerPriority: Long = 32_000,
    public val withinAccountTokensPerPriority: Long = 400_000,
    public val initialTokensPerSecond: Double = 20_000.0,
)

/**
 * Describes one queued request.
 *
 * @property tokens cost of the request at the engine in tokens, at least 1.
 * @property priority larger is more urgent; values outside 0..3 are clamped.
 */
public data class QueuedWork<T>(
    public val id: String,
    public val clientAccount: String,
    public val tokens: Long,
    public val priority: Int,
    public val content: T,
)

/** Reports that a client account's queue is full. The request was not executed. */
public data class QueueFull(
    override val step: String,
    override val peer: String,
    override val message: String,
    public val retryAfter: Duration,
) : StepError

/**
 * Shares an engine between client accounts by tokens, in proportion to [weightOf] (start-time fair queueing).
 *
 * An account that was idle is served promptly but gets no credit for its idle time. This class is thread-safe.
 */
public class FairQueue<T>(
    private val settings: FairQueueSettings = FairQueueSettings(),
    timeSource: TimeSource = TimeSource.Monotonic,
    private val weightOf: (clientAccount: String) -> Double = { 1.0 },
) {
    private val accounts = LinkedHashMap<String, AccountQueue<T>>()
    private var virtualTime = 0.0
    private val drainRate = DrainRate(settings.initialTokensPerSecond, timeSource)

    /** Number of queued requests. */
    @get:Synchronized
    public var size: Int = 0
        private set

    /** Sum of the tokens of all queued requests. */
    @get:Synchronized
    public var queuedTokens: Long = 0
        private set

    internal val trackedAccountCount: Int get() = accounts.size

    /** Adds [work], replacing a request with the same id, or refuses it if its account's queue is full. */
    @Synchronized
    public fun offer(work: QueuedWork<T>): Either<QueueFull, Unit> {
        remove(work.clientAccount, work.id)
        val account = accounts.getOrPut(work.clientAccount) { AccountQueue(virtualTime) }
        val exceedsItemLimit = account.size >= settings.maxItemsPerAccount
        val exceedsTokenLimit = account.size > 0 && account.queuedTokens + work.tokens > settings.maxTokensPerAccount
        if (exceedsItemLimit || exceedsTokenLimit) return refusal(work, account).left()
        if (size == 0) drainRate.restartWindow()
        if (account.size == 0) account.virtualStartTime = maxOf(account.virtualStartTime, virtualTime)
        account.add(work, work.priority.coerceIn(0, MAX_PRIORITY) * settings.withinAccountTokensPerPriority)
        size++
        queuedTokens += work.tokens
        return Unit.right()
    }

    /** Removes and returns the next request, or null if the queue is empty. */
    @Synchronized
    public fun poll(): QueuedWork<T>? {
        val backlogged = accounts.entries.filter { it.value.size > 0 }
        val (name, account) = backlogged.minByOrNull { priorityAdjustedStartTime(it.value) } ?: return null
        virtualTime = maxOf(virtualTime, backlogged.minOf { it.value.virtualStartTime })
        val work = account.removeFirst()
        account.virtualStartTime += work.tokens.coerceAtLeast(1) / weightOf(name).coerceAtLeast(MIN_WEIGHT)
        recordRemoval(work)
        drainRate.add(work.tokens)
        return work
    }

    /**
     * Corrects the charge to [clientAccount] for a request once the engine has reported the computed tokens.
     *
     * The expected tokens are estimated when a request is offered. In a long queue its prefix is often evicted from the
     * cache before the request is polled, so an account with a long queue would get more than its share without the
     * correction.
     */
    @Synchronized
    public fun adjustCharge(clientAccount: String, expectedTokens: Long, computedTokens: Long) {
        val account = accounts.getOrPut(clientAccount) { AccountQueue(virtualTime) }
        account.virtualStartTime +=
            (computedTokens - expectedTokens) / weightOf(clientAccount).coerceAtLeast(MIN_WEIGHT)
        accounts.values.removeIf { it.size == 0 && it.virtualStartTime <= virtualTime }
    }

    /** Removes the queued request [id] of [clientAccount], for example when its caller has disconnected. */
    @Synchronized
    public fun remove(clientAccount: String, id: String): QueuedWork<T>? {
        val work = accounts[clientAccount]?.remove(id) ?: return null
        recordRemoval(work)
        return work
    }

    /** Estimates the time until a new request of [clientAccount] would be polled. */
    @Synchronized
    public fun expectedWait(clientAccount: String): Duration =
        estimateWait(clientAccount, accounts[clientAccount]?.queuedTokens ?: 0)

    private fun priorityAdjustedStartTime(account: AccountQueue<T>): Double =
        account.virtualStartTime -
            account.first().priority.coerceIn(0, MAX_PRIORITY) * settings.crossAccountTokensPerPriority

    private fun recordRemoval(work: QueuedWork<T>) {
        size--
        queuedTokens -= work.tokens
        if (size == 0) virtualTime = accounts.values.maxOf { it.virtualStartTime }
        accounts.values.removeIf { it.size == 0 && it.virtualStartTime <= virtualTime }
    }

    private fun refusal(work: QueuedWork<T>, account: AccountQueue<T>) = QueueFull(
        step = "queue request ${work.id}",
        peer = work.clientAccount,
        message = "${account.size} requests with ${account.queuedTokens} tokens are queued; the limit is " +
            "${settings.maxItemsPerAccount} requests with ${settings.maxTokensPerAccount} tokens",
        retryAfter = estimateWait(work.clientAccount, account.queuedTokens).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    )

    private fun estimateWait(clientAccount: String, tokens: Long): Duration {
        val otherWeights = accounts.entries
            .filter { it.value.size > 0 && it.key != clientAccount }
            .sumOf { weightOf(it.key) }
        val ownWeight = weightOf(clientAccount).coerceAtLeast(MIN_WEIGHT)
        return (tokens * (ownWeight + otherWeights) / ownWeight / drainRate.tokensPerSecond).seconds
    }

    private companion object {
        const val MAX_PRIORITY = 3
        const val MIN_WEIGHT = 1e-6
        val MIN_RETRY_AFTER = 100.milliseconds
        val MAX_RETRY_AFTER = 30.seconds
    }
}
