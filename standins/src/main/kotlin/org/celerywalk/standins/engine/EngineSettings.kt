package org.celerywalk.standins.engine

/**
 * Settings of a simulated engine, which tests may change while it runs.
 *
 * @property pieceTokens size of a prefix cache piece in tokens; 4 bytes of UTF-8 count as one token.
 * @property cacheTokens capacity of the prefix cache in tokens.
 * @property capacity maximum number of sequences in the batch.
 * @property queueLimit maximum number of waiting sequences; requests beyond it are refused.
 * @property prefillMicros time to prefill one uncached prompt token, in microseconds.
 * @property tokenMillis time of one decoding step of the whole batch, in milliseconds.
 * @property speed factor that the times of prefill and decoding are divided by.
 * @property answerTokens length in tokens at which a completion stops if `max_tokens` is higher; 0 means no such limit.
 * @property eventDelayMillis delay until a cache event can be read, in milliseconds.
 * @property eventLoss probability that a cache event is lost, 0 to 1.
 * @property loadLagMillis maximum age of the load figures in a status reply, in milliseconds.
 * @property checksFencing whether orders with a fencing number below the last accepted one are refused.
 * @property loadMillis time to load weights when no weight store is set, in milliseconds.
 */
public data class EngineSettings(
    public val model: String = "demo",
    public val weights: String = "1",
    public val pieceTokens: Int = 16,
    public val cacheTokens: Int = 200_000,
    public val capacity: Int = 16,
    public val queueLimit: Int = 256,
    public val prefillMicros: Double = 50.0,
    public val tokenMillis: Double = 10.0,
    public val speed: Double = 1.0,
    public val answerTokens: Int = 0,
    public val eventDelayMillis: Long = 50,
    public val eventLoss: Double = 0.0,
    public val loadLagMillis: Long = 200,
    public val checksFencing: Boolean = false,
    public val loadMillis: Long = 600,
)
