package org.celerywalk.stream

import org.celerywalk.error.Execution
import kotlin.time.Duration

/** Event that an attempt reports about its answer. */
public sealed interface StreamEvent {
    /** The engine started the request; [cachedTokens] of its [promptTokens] were in the engine's prefix cache. */
    public data class Started(
        public val weights: String,
        public val promptTokens: Int,
        public val cachedTokens: Int,
    ) : StreamEvent

    /** The engine generated [count] tokens; [offset] is the position of the first token in the whole answer. */
    public data class Tokens(public val offset: Int, public val count: Int, public val text: String) : StreamEvent

    /** The engine finished an answer of [totalTokens] tokens. */
    public data class Finished(public val totalTokens: Int, public val reason: String) : StreamEvent

    /**
     * The attempt ended without a complete answer. The entry also creates this event for a lost call.
     *
     * @property redirect endpoint that the refusal names for the next attempt, or null.
     */
    public data class Refused(
        public val code: String,
        public val message: String,
        public val execution: Execution,
        public val retryAfter: Duration? = null,
        public val redirect: String? = null,
    ) : StreamEvent {
        public companion object {
            /** Code of an agent whose engine ended under the attempt, before the first token and unplanned. */
            public const val ENGINE_CRASHED: String = "engine_crashed"

            /** Code of an agent whose queue for the request's client account has no room for the request. */
            public const val QUEUE_FULL: String = "queue_full"
        }
    }
}
