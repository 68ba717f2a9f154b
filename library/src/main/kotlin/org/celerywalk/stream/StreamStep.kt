package org.celerywalk.stream

import org.celerywalk.error.Execution
import kotlin.time.Duration

/** Step that the caller of [AnswerStream] must take after an event. */
public sealed interface StreamStep {
    /** Do nothing. */
    public data object Ignore : StreamStep

    /** Open the response to the caller: the answer has begun. */
    public data class Open(public val promptTokens: Int, public val cachedTokens: Int) : StreamStep

    /** Forward [text] to the caller. */
    public data class Forward(public val text: String) : StreamStep

    /** Complete the response: the answer ended for [reason]. */
    public data class Complete(public val reason: String) : StreamStep

    /** Cancel the attempt and begin another one, at the endpoint [redirect] unless it is null. */
    public data class Retry(public val redirect: String?) : StreamStep

    /** Fail the response: the answer cannot be completed. */
    public data class Fail(public val failure: StreamFailure) : StreamStep
}

/** Describes why an answer could not be completed, and whether work for it was executed. */
public data class StreamFailure(
    public val code: String,
    public val message: String,
    public val execution: Execution,
    public val retryAfter: Duration?,
)

/** Describes an attempt; [resumeText] is the text of the [resumeOffset] tokens that were forwarded before it. */
public data class AttemptStart(
    public val resumeOffset: Int,
    public val resumeText: String,
    public val isRedirected: Boolean,
)
