package org.celerywalk.stream

import org.celerywalk.error.Execution

/**
 * Assembles one answer from the events of its attempts.
 *
 * Events of earlier attempts are ignored. Tokens are forwarded in order: repeated tokens are dropped, and a gap ends
 * the attempt. An answer is complete only if the engine's total equals the number of forwarded tokens. Not
 * thread-safe.
 *
 * @param maxAttempts maximum number of attempts of one request, the first included.
 */
public class AnswerStream(private val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS) {
    private val forwardedText = StringBuilder()
    private var currentAttemptId: String? = null
    private var attemptWeights: String? = null
    private var attemptCount = 0
    private var redirectCount = 0
    private var isNextAttemptRedirected = false
    private var isAttemptStarted = false
    private var isAnswerOpened = false
    private var hasEnded = false
    private var lastRefusal = StreamEvent.Refused("no_replica", "no replica accepts the request", Execution.NOT_RUN)
    private var execution = Execution.NOT_RUN

    /** Number of tokens that were forwarded. */
    public var offset: Int = 0
        private set

    /** Weights that generated the forwarded tokens, or null before the first token. */
    public var weights: String? = null
        private set

    /** Text that was forwarded. */
    public val text: String get() = forwardedText.toString()

    /**
     * Begins an attempt on a replica with [replicaWeights]; events of earlier attempts are ignored from now on.
     *
     * @throws IllegalStateException if the answer has ended or has tokens of other weights.
     */
    public fun beginAttempt(attemptId: String, replicaWeights: String): AttemptStart {
        check(!hasEnded) { "the answer has ended; no further attempt is allowed" }
        check(weights == null || weights == replicaWeights) { "replica has weights $replicaWeights, expected $weights" }
        currentAttemptId = attemptId
        attemptWeights = replicaWeights
        isAttemptStarted = false
        attemptCount++
        return AttemptStart(offset, text, isNextAttemptRedirected)
    }

    /** Processes [event] of the attempt [attemptId] and returns the step that the caller must take. */
    public fun handleEvent(attemptId: String, event: StreamEvent): StreamStep = when {
        hasEnded || attemptId != currentAttemptId -> StreamStep.Ignore
        else -> when (event) {
            is StreamEvent.Started -> onStarted(event)
            is StreamEvent.Tokens -> onTokens(event)
            is StreamEvent.Finished -> onFinished(event)
            is StreamEvent.Refused -> onRefused(event)
        }
    }

    /** Fails the answer because of [cause], or because no replica is left for another attempt. */
    public fun endWithFailure(cause: StreamEvent.Refused? = null): StreamStep = when {
        hasEnded -> StreamStep.Ignore
        else -> {
            cause?.let(::recordRefusal)
            failAnswer()
        }
    }

    /** Ends the answer without a result, because the caller disconnected or its key is no longer accepted. */
    public fun end() {
        hasEnded = true
        currentAttemptId = null
    }

    private fun onStarted(event: StreamEvent.Started): StreamStep {
        isAttemptStarted = event.weights == attemptWeights
        if (isAttemptStarted) execution = Execution.RAN
        return when {
            !isAttemptStarted ->
                onRefused(invalidAnswer("replica has weights ${event.weights}, expected $attemptWeights"))
            isAnswerOpened -> StreamStep.Ignore
            else -> {
                isAnswerOpened = true
                StreamStep.Open(event.promptTokens, event.cachedTokens)
            }
        }
    }

    private fun onTokens(event: StreamEvent.Tokens): StreamStep = when {
        !isAttemptStarted || event.count <= 0 ->
            onRefused(invalidAnswer("tokens event before the start event or without tokens"))
        event.offset + event.count <= offset -> StreamStep.Ignore
        event.offset != offset -> onRefused(invalidAnswer("tokens begin at offset ${event.offset}, expected $offset"))
        else -> {
            offset += event.count
            weights = attemptWeights
            forwardedText.append(event.text)
            StreamStep.Forward(event.text)
        }
    }

    private fun onFinished(event: StreamEvent.Finished): StreamStep =
        if (isAttemptStarted && event.totalTokens == offset) {
            end()
            StreamStep.Complete(event.reason)
        } else {
            onRefused(invalidAnswer("answer ended after $offset of ${event.totalTokens} tokens"))
        }

    private fun onRefused(event: StreamEvent.Refused): StreamStep {
        recordRefusal(event)
        val redirect = event.redirect?.takeIf { redirectCount < MAX_REDIRECTS }
        isNextAttemptRedirected = isNextAttemptRedirected || redirect != null
        if (redirect != null) redirectCount++
        return if (attemptCount < maxAttempts) StreamStep.Retry(redirect) else failAnswer()
    }

    private fun recordRefusal(event: StreamEvent.Refused) {
        lastRefusal = event
        currentAttemptId = null
        if (execution == Execution.NOT_RUN || event.execution == Execution.RAN) execution = event.execution
    }

    private fun failAnswer(): StreamStep {
        end()
        val cause = lastRefusal
        return StreamStep.Fail(StreamFailure(cause.code, cause.message, execution, cause.retryAfter))
    }

    private companion object {
        const val DEFAULT_MAX_ATTEMPTS = 4
        const val MAX_REDIRECTS = 1
    }
}

// The engine of an attempt with invalid events may have executed work, whatever the events report.
private fun invalidAnswer(message: String) = StreamEvent.Refused("broken_answer", message, Execution.UNKNOWN)
