package org.celerywalk.standins.engine

internal data class GenerateBody(
    val attemptId: String,
    val prompt: String,
    val cacheScope: String,
    val weights: String,
    val pieceNames: List<String> = emptyList(),
    val maxTokens: Int,
    val priority: Int = 0,
    val resumeOffset: Int = 0,
    val resumeText: String = "",
)

internal sealed interface StreamEvent {
    data class Started(
        val incarnation: String,
        val weights: String,
        val promptTokens: Int,
        val cachedTokens: Int,
    ) : StreamEvent

    data class Tokens(val offset: Int, val count: Int, val text: String) : StreamEvent

    data class Finished(val totalTokens: Int, val reason: String) : StreamEvent

    /** Ends the stream by closing the connection without a [Finished] event; it is not written to the stream. */
    data object Aborted : StreamEvent
}

internal data class StatusReply(
    val incarnation: String,
    val model: String,
    val weights: String,
    val loading: String?,
    val queuedTokens: Long,
    val running: Int,
    val capacity: Int,
    val lastFencingNumber: Long,
)

internal data class WireCacheEvent(val sequence: Long, val piece: String, val resident: Boolean)

internal data class CacheEventsReply(
    val incarnation: String,
    val lastSequence: Long,
    val events: List<WireCacheEvent>,
)

internal data class OrderBody(val model: String, val weights: String, val fencingNumber: Long)

internal data class ExportBody(val cacheScope: String, val pieces: List<String>)

internal data class ExportedPiece(val name: String, val content: String)

internal data class Export(val cacheScope: String, val weights: String, val pieces: List<ExportedPiece>)

/** Reply to a request that was refused before its execution started; [status] is the HTTP status code. */
internal data class Refusal(val status: Int, val message: String) {
    companion object {
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
    }
}

/**
 * Counters of an engine's work since its process started; a simulated crash does not reset them.
 *
 * @property prefilledTokens prompt tokens and tokens of resumed text that were prefilled.
 * @property cachedTokens prompt tokens that were taken from the prefix cache.
 * @property finished sequences that were completed.
 * @property cancelled sequences that were cancelled by request or because their client disconnected.
 * @property cut sequences that a crash or a shutdown aborted.
 * @property running sequences that are in the batch now.
 * @property queued sequences that are waiting now.
 */
public data class EngineCounts(
    public val prefilledTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
    public val finished: Int = 0,
    public val cancelled: Int = 0,
    public val cut: Int = 0,
    public val running: Int = 0,
    public val queued: Int = 0,
)
