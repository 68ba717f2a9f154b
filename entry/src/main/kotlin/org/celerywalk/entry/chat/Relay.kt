package org.celerywalk.entry.chat

import org.celerywalk.entry.agents.summaryOrNull
import org.celerywalk.entry.agents.toStreamEvent
import org.celerywalk.entry.agents.toSummary
import org.celerywalk.entry.http.CallerResponse
import org.celerywalk.error.Execution
import org.celerywalk.key.KeyProblem
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
 * Events come from the threads for calls, the server's threads and the timer; the lock orders them. No call under the
 * lock blocks.
 */
internal class Relay(
    private val generation: Generation,
    private val writer: AnswerWriter,
    private val response: CallerResponse,
    surroundings: RelaySurroundings,
) {
    private val choice = surroundings.choice
    private val observer = surroundings.observer
    private val limits = surroundings.limits
    private val time = surroundings.time
    private val stream = AnswerStream()
    private val attempts = Attempts(generation, choice, observer)
    private val began = time.markNow()
    private var lastProgress: ComparableTimeMark = began
    private var lastWrite: ComparableTimeMark = began
    private var paused = false
    private var answered = false
    private var ended = false
    private var promptTokens = generation.request.promptTokens
    private var cachedTokens = 0

    @Synchronized
    fun start() = attemptAt(null)

    /** Continues reading when the caller has taken what was written. */
    @Synchronized
    fun drained() {
        if (paused && !ended) {
            paused = false
            lastProgress = time.markNow()
            attempts.current?.next()
        }
    }

    /** Cancels the work of a caller that has left. */
    @Synchronized
    fun disconnected() {
        if (ended) return
        stream.abandon()
        end(RelayEnd.DISCONNECTED, Execution.RAN)
    }

    /** Ends the answer because the caller's key may no longer be served. */
    @Synchronized
    fun cut(problem: KeyProblem) {
        if (ended) return
        stream.abandon()
        response.drop()
        writer.fail(cutProblem(problem))
        end(RelayEnd.CUT, Execution.UNKNOWN)
    }

    /** Checks the time limits; called several times a second. */
    @Synchronized
    fun tick() {
        val current = attempts.current
        when {
            ended || current == null -> Unit
            began.elapsedNow() > limits.requestTimeout -> apply(stream.endWithFailure(timedOut(limits.requestTimeout)))
            !paused && lastProgress.elapsedNow() > limits.endpointTimeout ->
                lost(current, timedOut(limits.endpointTimeout))
            lastWrite.elapsedNow() > KEEP_ALIVE && response.pendingBytes == 0 -> {
                lastWrite = time.markNow()
                writer.keepAlive()
            }
        }
    }

    private fun attemptAt(redirect: String?) {
        paused = false
        lastProgress = time.markNow()
        if (!attempts.open(stream, redirect, generation.deadlineMillis, ::take, ::lost)) apply(stream.endWithFailure())
    }

    @Synchronized
    private fun take(from: Attempt, message: GenerateEvent) {
        message.summaryOrNull()?.let { from.chosen.link.learn(it.toSummary(from.chosen.replica.endpoint)) }
        val event = message.toStreamEvent()
        if (from !== attempts.current || ended) return
        lastProgress = time.markNow()
        if (event is StreamEvent.Started) choice.answered(from.chosen, event.cachedTokens)
        if (event != null) apply(stream.handleEvent(message.attemptId, event))
        if (from === attempts.current && !ended) {
            paused = response.pendingBytes > limits.streamBufferBytes
            if (!paused) from.next()
        }
    }

    @Synchronized
    private fun lost(from: Attempt, event: StreamEvent.Refused) {
        if (from === attempts.current && !ended) apply(stream.handleEvent(from.id, event))
    }

    private fun apply(step: StreamStep) {
        when (step) {
            is StreamStep.Ignore -> return
            is StreamStep.Open -> {
                promptTokens = step.promptTokens
                cachedTokens = step.cachedTokens
                writer.open()
            }
            is StreamStep.Forward -> {
                if (!answered) observer.firstToken(generation, began.elapsedNow())
                answered = true
                writer.pass(step.text)
            }
            is StreamStep.Complete -> {
                writer.complete(stream.text, step.reason, Usage(promptTokens, cachedTokens, stream.offset))
                end(RelayEnd.COMPLETE, Execution.RAN)
            }
            is StreamStep.Retry -> {
                attempts.close()
                attemptAt(step.redirect)
            }
            is StreamStep.Fail -> {
                writer.fail(step.failure.toProblem())
                end(RelayEnd.FAILED, step.failure.execution)
            }
        }
        lastWrite = time.markNow()
    }

    private fun end(how: RelayEnd, execution: Execution) {
        if (ended) return
        ended = true
        attempts.close()
        val used = if (execution == Execution.NOT_RUN) 0 else promptTokens + stream.offset
        generation.reservation.settle(used.toLong())
        observer.ended(generation, how, Usage(promptTokens, cachedTokens, stream.offset), began.elapsedNow())
    }

    private companion object {
        val KEEP_ALIVE = 1.seconds
    }
}

private fun timedOut(limit: Duration) =
    StreamEvent.Refused("agent_silent", "no answer within $limit", Execution.UNKNOWN)
