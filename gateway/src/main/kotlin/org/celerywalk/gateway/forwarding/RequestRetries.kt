package org.celerywalk.gateway.forwarding

import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.limit.RetryBudget
import org.celerywalk.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reason why a request is not sent again after an attempt. */
internal enum class RetryObstacle {
    /** The response is complete. */
    COMPLETE,

    /** The request was cancelled. */
    CANCELLED,

    /** Too little time is left. */
    NO_TIME,

    /** The response has begun without an event that another endpoint could continue after. */
    NO_EVENT_ID,

    /** No endpoint can take the request. */
    NOT_PLACED,

    /** The request was sent as often as allowed. */
    SEND_LIMIT,

    /** As many endpoints as the route allows may have executed the request. */
    ATTEMPT_LIMIT,

    /** The request may have been executed, and its kind doesn't allow another execution. */
    NOT_REPEATABLE,

    /** The retry budget is used up. */
    RETRY_BUDGET,
}

/** Decides whether one request is sent again, within the limits of its [route] and the retry [budget]. */
internal class RequestRetries(
    private val exchange: CallerExchange,
    private val route: Route,
    private val budget: RetryBudget,
    private val relay: ResponseRelay,
    private val timeLeft: () -> Duration,
) {
    /** Number of endpoints that may have executed the request. */
    var executions: Int = 0
        private set

    /**
     * True if a refusal must not end the request: its response has begun, or the gateway itself took it away from an
     * endpoint.
     */
    val mustGoOn: Boolean get() = exchange.response.isCommitted || isTakenAway

    private var retryDelay = MIN_RETRY_DELAY
    private var isTakenAway = false

    /** Records an attempt that sent the request. */
    fun record(outcome: AttemptOutcome) {
        if (!outcome.mayHaveExecuted || isRefusal(outcome)) return
        executions++
        isTakenAway = outcome.hasTakenRetry
        retryDelay = MIN_RETRY_DELAY
    }

    /**
     * Returns null if the request may be sent again after the last attempt had [outcome] and it was sent [sends] times,
     * or the reason why not. Takes a retry from the budget if one is needed.
     *
     * A refusal ends a request that no endpoint has begun, whose caller can send it again. After that, its caller would
     * only see a broken connection, and a request that the gateway itself took away from an endpoint may have been
     * executed there. Such a refusal is waited out with increasing delays until the request is cancelled. Blocks the
     * thread meanwhile.
     */
    fun awaitRetry(outcome: AttemptOutcome, sends: Int): RetryObstacle? {
        if (!mustGoOn || !isRefusal(outcome)) return findObstacle(outcome, sends)
        var obstacle: RetryObstacle?
        do {
            exchange.awaitCancellation(minOf(retryDelay, timeLeft()))
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
            obstacle = findObstacle(outcome, sends)
        } while (obstacle == RetryObstacle.RETRY_BUDGET)
        return obstacle.takeUnless { it == RetryObstacle.NOT_PLACED }
    }

    // An endpoint that has not begun to answer in time has hardly executed the request. If the request must go on, this
    // counts as a refusal.
    private fun isRefusal(outcome: AttemptOutcome): Boolean = when (outcome) {
        is AttemptOutcome.NotExecuted -> true
        is AttemptOutcome.NotStarted -> mustGoOn
        is AttemptOutcome.Rejected -> outcome.isTemporary
        else -> false
    }

    private fun findObstacle(outcome: AttemptOutcome, sends: Int): RetryObstacle? = when {
        outcome is AttemptOutcome.Completed -> RetryObstacle.COMPLETE
        exchange.cancelReason != null || outcome is AttemptOutcome.Cancelled -> RetryObstacle.CANCELLED
        timeLeft() <= MIN_SEND_TIME -> RetryObstacle.NO_TIME
        !relay.canContinue -> RetryObstacle.NO_EVENT_ID
        outcome is AttemptOutcome.Rejected -> RetryObstacle.NOT_PLACED
        outcome.hasTakenRetry -> null
        outcome is AttemptOutcome.NotExecuted -> findSendObstacle(outcome, sends)
        !route.isRetryable -> RetryObstacle.NOT_REPEATABLE
        isRefusal(outcome) -> findBudgetObstacle()
        executions >= route.maxAttempts -> RetryObstacle.ATTEMPT_LIMIT
        else -> findBudgetObstacle()
    }

    private fun findSendObstacle(outcome: AttemptOutcome.NotExecuted, sends: Int): RetryObstacle? = when {
        !mustGoOn && sends >= MAX_SENDS -> RetryObstacle.SEND_LIMIT
        outcome.wasSent -> findBudgetObstacle()
        else -> null
    }

    private fun findBudgetObstacle(): RetryObstacle? = RetryObstacle.RETRY_BUDGET.takeUnless { budget.tryRetry() }

    private companion object {
        // Maximum number of sends of one request that a refusal may end. Retries after a refusal also take from the
        // retry budget, which all gateways share.
        const val MAX_SENDS = 4
        val MIN_SEND_TIME = 15.milliseconds

        // Delays after refusals in a row.
        val MIN_RETRY_DELAY = 25.milliseconds
        val MAX_RETRY_DELAY = 400.milliseconds
    }
}
