package org.celerywalk.entry.chat

import org.celerywalk.entry.agents.summaryOrNull
import org.celerywalk.entry.agents.toStreamEvent
import org.celerywalk.entry.agents.toSummary
import org.celerywalk.entry.http.CallerResponse
import org.celerywalk.entry.http.Problem
import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.stream.AnswerStream
import org.celerywalk.stream.StreamEvent
import org.celerywalk.stream.StreamStep
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Relays one generation from agents to its caller.
 *
 * Events come from the call executor, the HTTP server's threads and the timer; a lock serializes them. No function
 * blocks while it holds the lock.
 */
internal class Relay(
    private val generation: Generation,
    private val writer: AnswerWriter,
    private val response: CallerResponse,
    context: RelayContext,
) {
    private val replicaSelector = context.replicaSelector
    private val observer = context.observer
    private val limits = context.limits
    private val timeSource = context.timeSource
    private val stream = AnswerStream()
    private val attempts = AttemptSequence(generation, replicaSelector, observer)
    private val quarantine = GenerationQuarantine(generation, context.quarantine, observer, timeSource)
    private val startedAt = timeSource.markNow()
    private var lastProgressAt: ComparableTimeMark = startedAt
    private var lastWriteAt: ComparableTimeMark = startedAt
    private var isPaused = false
    private var hasForwardedText = false
    private var hasEnded = false
    private var promptTokens = generation.request.promptTokens
    private var cachedTokens = 0

    @Synchronized
    fun start() = startAttempt(null)

    /** Continues to read events when the caller has taken the written bytes. */
    @Synchronized
    fun onResponseDrained() {
        if (isPaused && !hasEnded) {
            isPaused = false
            lastProgressAt = timeSource.markNow()
            attempts.current?.requestNextEvent()
        }
    }

    /** Cancels the generation of a caller that has disconnected. */
    @Synchronized
    fun onCallerDisconnected() {
        if (hasEnded) return
        stream.end()
        end(RelayEnd.DISCONNECTED, Execution.RAN)
    }

    /**
     * Ends the answer early with [problem]: at once if the caller's key is no longer accepted ([RelayEnd.CUT]), and
     * after the tokens that were received if the process stops ([RelayEnd.STOPPED]).
     */
    @Synchronized
    fun endEarly(relayEnd: RelayEnd, problem: Problem) {
        if (hasEnded) return
        stream.end()
        if (relayEnd == RelayEnd.CUT) {
            response.discardPending()
            writer.fail(problem)
        } else {
            writer.breakOff(problem)
        }
        end(relayEnd, Execution.UNKNOWN)
    }

    /** Checks the time limits and writes keep-alives; called several times a second. */
    @Synchronized
    fun tick() {
        val attempt = attempts.current
        when {
            hasEnded || attempt == null -> Unit
            startedAt.elapsedNow() > limits.requestTimeout ->
                takeStep(stream.endWithFailure(timeoutRefusal(limits.requestTimeout)))
            !isPaused && lastProgressAt.elapsedNow() > limits.endpointTimeout ->
                onRefused(attempt, timeoutRefusal(limits.endpointTimeout))
            lastWriteAt.elapsedNow() > KEEP_ALIVE_INTERVAL && response.pendingBytes == 0 -> {
                lastWriteAt = timeSource.markNow()
                writer.keepAlive()
            }
        }
    }

    private fun startAttempt(redirect: String?) {
        isPaused = false
        lastProgressAt = timeSource.markNow()
        val refusal = quarantine.refusal()
        if (refusal != null) {
            takeStep(stream.endWithFailure(refusal))
        } else if (!attempts.startNext(stream, redirect, generation.deadlineMillis, ::onEvent, ::onRefused)) {
            quarantine.withdrawTrial()
            takeStep(stream.endWithFailure())
        }
    }

    @Synchronized
    private fun onEvent(attempt: Attempt, message: GenerateEvent) {
        message.summaryOrNull()?.let {
            attempt.target.agentClient.updateSummary(it.toSummary(attempt.target.replica.endpoint))
        }
        if (message.agentStopping) replicaSelector.recordStopping(attempt.target)
        val event = message.toStreamEvent()
        if (attempt !== attempts.current || hasEnded) return
        lastProgressAt = timeSource.markNow()
        if (event is StreamEvent.Started) replicaSelector.recordAnswer(attempt.target, event.cachedTokens)
        when {
            event == null || message.attemptId != attempt.id -> Unit
            event is StreamEvent.Refused -> onRefused(attempt, event)
            else -> takeStep(stream.handleEvent(attempt.id, event))
        }
        if (attempt === attempts.current && !hasEnded) {
            isPaused = response.pendingBytes > limits.streamBufferBytes
            if (!isPaused) attempt.requestNextEvent()
        }
    }

    @Synchronized
    private fun onRefused(attempt: Attempt, event: StreamEvent.Refused) {
        if (attempt !== attempts.current || hasEnded) return
        quarantine.recordRefusal(attempt.target, event)
        replicaSelector.recordRefusal(attempt.target, event)
        takeStep(stream.handleEvent(attempt.id, event))
    }

    private fun takeStep(step: StreamStep) {
        when (step) {
            is StreamStep.Ignore -> return
            is StreamStep.Open -> {
                promptTokens = step.promptTokens
                cachedTokens = step.cachedTokens
                writer.open()
            }
            is StreamStep.Forward -> {
                if (!hasForwardedText) observer.onFirstToken(generation, startedAt.elapsedNow())
                hasForwardedText = true
                attempts.current?.let { quarantine.recordAnswer(it.target) }
                writer.forward(step.text)
            }
            is StreamStep.Complete -> {
                attempts.current?.let { quarantine.recordAnswer(it.target) }
                writer.complete(stream.text, step.reason, Usage(promptTokens, cachedTokens, stream.offset))
                end(RelayEnd.COMPLETE, Execution.RAN)
            }
            is StreamStep.Retry -> {
                attempts.cancelCurrent()
                startAttempt(step.redirect)
            }
            is StreamStep.Fail -> {
                writer.fail(step.failure.toProblem())
                end(RelayEnd.FAILED, step.failure.execution)
            }
        }
        lastWriteAt = timeSource.markNow()
    }

    private fun end(relayEnd: RelayEnd, execution: Execution) {
        if (hasEnded) return
        hasEnded = true
        attempts.cancelCurrent()
        val usedTokens = if (execution == Execution.NOT_RUN) 0 else promptTokens + stream.offset
        generation.reservation.settle(usedTokens.toLong())
        observer.onEnd(generation, relayEnd, Usage(promptTokens, cachedTokens, stream.offset), startedAt.elapsedNow())
    }

    private companion object {
        val KEEP_ALIVE_INTERVAL = 1.seconds
    }
}

private fun timeoutRefusal(limit: Duration) =
    StreamEvent.Refused("agent_silent", "no answer within $limit", Execution.UNKNOWN)
