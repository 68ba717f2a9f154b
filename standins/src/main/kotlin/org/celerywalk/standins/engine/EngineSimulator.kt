package org.celerywalk.standins.engine

import java.util.UUID
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Simulates one engine: its prefix cache, batch, weights and weight orders. Thread-safe. */
internal class EngineSimulator(initialSettings: EngineSettings, weightStore: String?) : AutoCloseable {
    private val lock = ReentrantLock()
    private val idlePoll = lock.newCondition()
    private val cache = PrefixCache { settings }
    private val batch = BatchScheduler({ settings }, { incarnation }, cache, lock)
    private val loader: WeightLoader = weightStore?.let(::RemoteWeightLoader) ?: SimulatedWeightLoader { settings }
    private var incarnation = newIncarnation()
    private var loadingWeights: String? = null
    private var lastFencingNumber = 0L
    private var reportedStatus: StatusReply? = null
    private var reportedAt = TimeSource.Monotonic.markNow()
    val cacheApi = CacheApi(lock, cache, { incarnation }, { settings })

    @Volatile
    var settings = initialSettings

    val counts: EngineCounts get() = lock.withLock { batch.counts }

    /** Queues a sequence and returns it, or returns the refusal; the other element of the pair is null. */
    fun submit(body: GenerateBody): Pair<Generation?, Refusal?> = lock.withLock {
        val generation = Generation(body, settings)
        val refusal = when {
            loadingWeights != null -> Refusal(Refusal.UNAVAILABLE, "weights $loadingWeights are being loaded")
            body.weights != settings.weights ->
                Refusal(Refusal.CONFLICT, "weights ${settings.weights} are loaded, but ${body.weights} were requested")
            !generation.hasMatchingResumeText() ->
                Refusal(Refusal.BAD_REQUEST, "resume_text is not the text of the first resume_offset tokens")
            !batch.submit(generation) -> Refusal(Refusal.UNAVAILABLE, "the queue is full")
            else -> null
        }
        if (refusal == null) generation to null else null to refusal
    }

    fun cancel(predicate: (Generation) -> Boolean): Int = batch.cancel(predicate)

    /** Simulates a crash and restart: empties the cache, aborts all streams and takes a new incarnation. */
    fun crash() = lock.withLock {
        incarnation = newIncarnation()
        cache.clear()
        batch.abortAll()
        reportedStatus = null
    }

    /** Returns the status, whose load figures may be up to [EngineSettings.loadLagMillis] old. */
    fun status(): StatusReply = lock.withLock {
        val current = currentStatus()
        val loadStatus = reportedStatus?.takeIf { reportedAt.elapsedNow() < settings.loadLagMillis.milliseconds }
            ?: current.also {
                reportedStatus = it
                reportedAt = TimeSource.Monotonic.markNow()
            }
        current.copy(queuedTokens = loadStatus.queuedTokens, running = loadStatus.running)
    }

    /** Accepts an order to load weights; the load starts when all sequences accepted before have finished. */
    fun submitOrder(body: OrderBody): Refusal? = lock.withLock {
        val isStale = settings.checksFencing && body.fencingNumber < lastFencingNumber
        val refusal = when {
            isStale ->
                Refusal(Refusal.CONFLICT, "fencing number ${body.fencingNumber} is below the last, $lastFencingNumber")
            loadingWeights != null && loadingWeights != body.weights ->
                Refusal(Refusal.UNAVAILABLE, "weights $loadingWeights are being loaded")
            else -> null
        }
        if (refusal == null) {
            lastFencingNumber = body.fencingNumber
            if (loadingWeights == null && body.weights != settings.weights) startLoad(body)
        }
        refusal
    }

    override fun close() = batch.close()

    private fun startLoad(body: OrderBody) {
        loadingWeights = body.weights
        thread(name = "load", isDaemon = true) {
            lock.withLock { while (!batch.isIdle) idlePoll.awaitNanos(IDLE_POLL_NANOS) }
            loader.load(body.model, body.weights)
            lock.withLock {
                settings = settings.copy(model = body.model, weights = body.weights)
                cache.clear()
                incarnation = newIncarnation()
                loadingWeights = null
            }
        }
    }

    private fun currentStatus() = StatusReply(
        incarnation = incarnation,
        model = settings.model,
        weights = if (loadingWeights == null) settings.weights else "",
        loading = loadingWeights,
        queuedTokens = batch.queuedPrefillTokens,
        running = batch.counts.running,
        capacity = settings.capacity,
        lastFencingNumber = lastFencingNumber,
    )

    private fun newIncarnation() = UUID.randomUUID().toString()

    private companion object {
        const val IDLE_POLL_NANOS = 5_000_000L
    }
}
