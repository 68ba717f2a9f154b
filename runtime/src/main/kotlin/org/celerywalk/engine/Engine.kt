package org.celerywalk.engine

import arrow.core.Either
import org.celerywalk.error.StepError
import java.util.concurrent.CompletableFuture

/** Client of one model engine. The HTTP format is described in docs/stand-ins.md. */
public interface Engine {
    /** Starts a generation; [listener] gets its events one at a time and in order. */
    public fun generate(request: EngineRequest, listener: EngineListener): EngineCall

    /** Reads the status of the engine; the reported load may lag behind the actual load. */
    public fun status(): CompletableFuture<Either<EngineError, EngineStatus>>

    /** Reads the cache events with sequence numbers greater than [after]; events may be missing. */
    public fun cacheEvents(after: Long): CompletableFuture<Either<EngineError, CacheEvents>>

    /** Lists all KV cache blocks (pieces) that are resident, as events. */
    public fun residentPieces(): CompletableFuture<Either<EngineError, CacheEvents>>

    /** Orders the engine to load weights; an engine that checks fencing refuses an outdated fencing token. */
    public fun order(order: EngineOrder): CompletableFuture<Either<EngineError, EngineStatus>>

    /** Exports the KV cache blocks [pieces] of [cacheScope]. */
    public fun exportPieces(cacheScope: String, pieces: List<Long>): CompletableFuture<Either<EngineError, ByteArray>>

    /** Imports KV cache blocks that an engine with the same weights and cache scope exported. */
    public fun importPieces(cacheScope: String, content: ByteArray): CompletableFuture<Either<EngineError, Unit>>
}

/**
 * A generation request.
 *
 * @property cacheScope name of the client account; engines do not share KV cache blocks between scopes.
 * @property pieceNames chain hashes of the prompt's KV cache blocks; the engine names them so in its cache events.
 * @property maxTokens maximum length of the whole output, including the tokens that have been generated before.
 * @property resumeOffset number of tokens that earlier attempts have generated; [resumeText] is their text.
 */
public data class EngineRequest(
    public val attemptId: String,
    public val prompt: String,
    public val cacheScope: String,
    public val weights: String,
    public val pieceNames: List<Long>,
    public val maxTokens: Int,
    public val priority: Int,
    public val resumeOffset: Int = 0,
    public val resumeText: String = "",
)

/** Listener for the events of one generation. [onFailed] and [onFinished] are terminal events. */
public interface EngineListener {
    public fun onStarted(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int)

    /**
     * Delivers [count] tokens that start at token [offset] of the output. No more is read from the engine until this
     * function returns.
     *
     * It is called on one of a few threads that all streams share, so it must not block; see [EngineCall.pause].
     */
    public fun onTokens(offset: Int, count: Int, text: String)

    public fun onFinished(totalTokens: Int, reason: String)

    public fun onFailed(error: EngineError)
}

/** Handle of a running generation. */
public interface EngineCall {
    /** Cancels the generation in the engine; the listener gets no further event. */
    public fun cancel()

    /**
     * Stops delivery and reading from the engine until [resume]. An event that is being delivered may still complete.
     *
     * Provides backpressure: a listener with a slow receiver calls this instead of blocking the thread or buffering
     * without bound.
     */
    public fun pause() {}

    /** Continues delivery after [pause], possibly on the calling thread. */
    public fun resume() {}
}

/**
 * Status of an engine.
 *
 * @property incarnation id of the engine process; changes with each restart.
 * @property weights version of the weights that are loaded.
 * @property loadingWeights version of the weights that are being loaded, null if none are.
 * @property queuedTokens number of prompt tokens whose prefill is pending.
 * @property running number of running generations.
 * @property capacity maximum number of running generations.
 * @property lastFencingNumber highest fencing token that the engine has accepted.
 */
public data class EngineStatus(
    public val incarnation: String,
    public val model: String,
    public val weights: String,
    public val loadingWeights: String?,
    public val queuedTokens: Long,
    public val running: Int,
    public val capacity: Int,
    public val lastFencingNumber: Long,
)

/**
 * A range of cache events.
 *
 * @property lastSequence sequence number of the latest event that the engine has issued.
 */
public data class CacheEvents(
    public val incarnation: String,
    public val lastSequence: Long,
    public val events: List<CacheEvent>,
)

/** Event that the KV cache block [piece] became resident in the cache or was evicted. */
public data class CacheEvent(public val sequence: Long, public val piece: Long, public val isResident: Boolean)

/** Order to load weights; [fencingNumber] is its fencing token. */
public data class EngineOrder(public val model: String, public val weights: String, public val fencingNumber: Long)

/**
 * A failed call to an engine.
 *
 * @property isNotExecuted true if the engine has not executed and will not execute the call.
 * @property isConnectionRefused true if nothing listens at the engine's address.
 */
public data class EngineError(
    override val step: String,
    override val peer: String,
    override val message: String,
    public val isNotExecuted: Boolean,
    public val isConnectionRefused: Boolean = false,
) : StepError
