package org.celerywalk.standins.engine

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.math.roundToLong

/**
 * Simulates continuous batching with a linear cost model.
 *
 * Each step prefills up to [MAX_PREFILL_TOKENS_PER_STEP] uncached tokens, highest priority first, and generates one
 * token for each sequence whose prefill is complete. The step takes the prefill time of these tokens plus, if any
 * sequence decodes, the time of one decoding step.
 */
internal class BatchScheduler(
    private val settings: () -> EngineSettings,
    private val incarnation: () -> String,
    private val cache: PrefixCache,
    private val lock: ReentrantLock,
) : AutoCloseable {
    private val stateChanged = lock.newCondition()
    private val waiting = ArrayList<Generation>()
    private val running = ArrayList<Generation>()
    private var nextArrivalNumber = 0L
    private var isOpen = true
    var counts = EngineCounts()
        get() = field.copy(running = running.size, queued = waiting.size)
        private set

    val isIdle: Boolean get() = waiting.isEmpty() && running.isEmpty()

    /** Tokens of all sequences, waiting and running, that are not prefilled yet. */
    val queuedPrefillTokens: Long get() = (waiting + running).sumOf { it.uncomputedTokens.toLong() }

    init {
        thread(name = "batch", isDaemon = true) { while (isOpen) lock.withLock { runStep() } }
    }

    /** Adds a sequence to the queue and returns true, or returns false if the queue is full. */
    fun submit(generation: Generation): Boolean = lock.withLock {
        val isAccepted = waiting.size < settings().queueLimit
        if (isAccepted) {
            generation.arrivalNumber = nextArrivalNumber++
            waiting.add(generation)
            stateChanged.signalAll()
        }
        isAccepted
    }

    /** Cancels the sequences that match [predicate], closes their connections and returns their number. */
    fun cancel(predicate: (Generation) -> Boolean): Int = lock.withLock {
        val removedCount = remove(predicate)
        counts = counts.copy(cancelled = counts.cancelled + removedCount)
        removedCount
    }

    /** Aborts all sequences, as an engine crash does. */
    fun abortAll() = lock.withLock {
        val removedCount = remove { true }
        counts = counts.copy(cut = counts.cut + removedCount)
    }

    override fun close() = lock.withLock {
        isOpen = false
        abortAll()
    }

    private fun remove(predicate: (Generation) -> Boolean): Int {
        val removed = (waiting + running).filter(predicate)
        removed.forEach { it.abort() }
        waiting.removeAll(removed.toSet())
        running.removeAll(removed.toSet())
        stateChanged.signalAll()
        return removed.size
    }

    private fun runStep() {
        if (isIdle) {
            if (isOpen) stateChanged.await()
            return
        }
        startWaiting()
        val prefill = planPrefill()
        val decoding = running.filter { it.uncomputedTokens == 0 }
        awaitStepTime(prefill.values.sum(), decoding.isNotEmpty())
        prefill.filterKeys { it in running }.forEach { (generation, tokens) ->
            generation.uncomputedTokens -= tokens
            counts = counts.copy(prefilledTokens = counts.prefilledTokens + tokens)
            if (generation.uncomputedTokens == 0) cache.add(generation.pieceHashes, generation.body.pieceNames)
        }
        decoding.filter { it in running && !it.isComplete }.forEach {
            it.generateToken()
            counts = counts.copy(generatedTokens = counts.generatedTokens + 1)
        }
        finishCompleted()
    }

    private fun startWaiting() {
        waiting.sortWith(PRIORITY_ORDER)
        while (running.size < settings().capacity && waiting.isNotEmpty()) {
            val next = waiting.removeAt(0)
            val cachedTokens = minOf(cache.lookUpCachedTokens(next.pieceHashes), next.promptTokens)
            next.start(incarnation(), cachedTokens)
            counts = counts.copy(cachedTokens = counts.cachedTokens + cachedTokens)
            running.add(next)
        }
    }

    private fun planPrefill(): Map<Generation, Int> {
        var remainingTokens = MAX_PREFILL_TOKENS_PER_STEP
        return running.sortedWith(PRIORITY_ORDER).filter { it.uncomputedTokens > 0 }.associateWith { generation ->
            minOf(remainingTokens, generation.uncomputedTokens).also { remainingTokens -= it }
        }
    }

    private fun awaitStepTime(prefillTokens: Int, hasDecoding: Boolean) {
        val prefillMicros = prefillTokens * settings().prefillMicros
        val decodeMillis = if (hasDecoding) settings().tokenMillis else 0.0
        var remainingNanos =
            ((prefillMicros * NANOS_PER_MICRO + decodeMillis * NANOS_PER_MILLI) / settings().speed).roundToLong()
        while (remainingNanos > 0 && isOpen) remainingNanos = stateChanged.awaitNanos(remainingNanos)
    }

    private fun finishCompleted() {
        val finished = running.filter { it.isComplete && it.uncomputedTokens == 0 }
        finished.forEach { it.finish() }
        running.removeAll(finished.toSet())
        counts = counts.copy(finished = counts.finished + finished.size)
    }

    private companion object {
        const val MAX_PREFILL_TOKENS_PER_STEP = 2048
        const val NANOS_PER_MICRO = 1e3
        const val NANOS_PER_MILLI = 1e6
        val PRIORITY_ORDER = compareByDescending<Generation> { it.body.priority }.thenBy { it.arrivalNumber }
    }
}
