package org.celerywalk.bench

import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.routing.FairQueue
import org.celerywalk.routing.PrefillSpeed
import org.celerywalk.routing.QueuedWork
import org.celerywalk.routing.RecentPieces
import org.celerywalk.routing.RoutingRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Runs scheduled actions in time order on a simulated clock; actions for the same time run in scheduling order. */
internal class EventLoop {
    val clock = TestTimeSource()

    /** Simulated time since the start of the run. */
    var now: Duration = Duration.ZERO
        private set
    private val events = PriorityQueue(compareBy<Event>({ it.time }, { it.sequence }))
    private var nextSequence = 0L

    fun schedule(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, nextSequence++, action)
    }

    /** Runs all actions up to and including the time [end]. */
    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().time <= end) {
            val event = events.poll()
            clock += event.time - now
            now = event.time
            event.action()
        }
    }

    private class Event(val time: Duration, val sequence: Long, val action: () -> Unit)
}

/** One attempt of an entry to run a request on a replica; [listener] passes its progress to the entry. */
internal class Job(val request: RoutingRequest, val outputTokens: Int, val listener: JobListener) {
    /** Prefill tokens that the agent expects from its cache estimate. */
    var expectedTokens = 0L

    /** Pieces found in the cache when the prefill started, -1 before that. */
    var cachedPieces = -1
    var remainingPrefillTokens = request.promptTokens.toLong()
}

/** Receives the progress of a job at the simulated time at which the replica observes it. */
internal interface JobListener {
    fun onStarted(cachedTokens: Int)

    fun onFinished()

    /** Called when the attempt ends without an answer; [isNotExecuted] is true if it never reached an engine. */
    fun onFailed(isNotExecuted: Boolean)
}

/**
 * Simulates an engine: prefill in chunks by priority, decoding at a fixed time per token, and a bounded prefix cache
 * that evicts the least recently used piece.
 */
internal class SimulatedEngine(
    private val loop: EventLoop,
    private val workload: Workload,
    private val prefillListener: PrefillListener,
) {
    /** Jobs that the engine has accepted and whose prefill has not ended. */
    val prefillJobs = ArrayList<Job>()
    private val decodingJobs = LinkedHashSet<Job>()
    private val cache = LinkedHashMap<Long, Unit>(workload.cacheCapacityPieces * 2, LOAD_FACTOR, true)
    private var isComputingChunk = false

    /** Factor of the workload's prefill speed; below 1 for a slow engine. */
    var prefillSpeedFactor = 1.0
    var isUp = true
        private set

    /** Number of restarts. */
    var incarnation = 0
        private set
    var onStateChange: () -> Unit = {}
    var onPrefillEnd: (job: Job, computedTokens: Long) -> Unit = { _, _ -> }
    var onCacheEvent: (piece: Long, isResident: Boolean) -> Unit = { _, _ -> }

    val decodingCount: Int get() = decodingJobs.size

    /** True if the engine accepts another request; further requests wait in the agent's fair queue. */
    val hasCapacity: Boolean
        get() = prefillJobs.size < MAX_PREFILL_JOBS && prefillJobs.size + decodingJobs.size < workload.engineCapacity

    /** Prefill speed at the current number of decoding requests. */
    val prefillTokensPerSecond: Double
        get() = workload.prefillTokensPerSecond * prefillSpeedFactor *
            (1 - DECODE_SLOWDOWN * decodingJobs.size / workload.engineCapacity)

    fun isCached(piece: Long): Boolean = piece in cache

    /** Returns the number of leading pieces that are cached. */
    fun cachedPrefixPieces(pieces: List<Long>): Int = pieces.matchingPrefixLength(::isCached)

    fun start(job: Job) {
        prefillJobs += job
        startNextChunk()
    }

    fun crash() {
        isUp = false
        val lostJobs = prefillJobs + decodingJobs
        prefillJobs.forEach { onPrefillEnd(it, 0) }
        prefillJobs.clear()
        decodingJobs.clear()
        cache.clear()
        isComputingChunk = false
        lostJobs.forEach { it.listener.onFailed(isNotExecuted = false) }
    }

    fun restart() {
        incarnation++
        isUp = true
        onStateChange()
    }

    private fun startNextChunk() {
        if (isComputingChunk || prefillJobs.isEmpty()) return
        val job = prefillJobs.maxBy { it.request.priority }
        if (job.cachedPieces < 0) {
            job.cachedPieces = cachedPrefixPieces(job.request.pieceNames)
            touch(job.request.pieceNames.take(job.cachedPieces))
            // At least one token is computed because the first answer token needs the state of the last prompt token.
            job.remainingPrefillTokens = (job.request.promptTokens - cachedTokens(job)).coerceAtLeast(1).toLong()
            prefillListener.onPrefillStarted(job.request, job.cachedPieces, this)
        }
        val chunkTokens = job.remainingPrefillTokens.coerceAtMost(MAX_CHUNK_TOKENS)
        isComputingChunk = true
        val incarnationAtStart = incarnation
        loop.schedule((chunkTokens / prefillTokensPerSecond).seconds) {
            if (isUp && incarnationAtStart == incarnation) endChunk(job, chunkTokens)
        }
    }

    private fun endChunk(job: Job, chunkTokens: Long) {
        isComputingChunk = false
        job.remainingPrefillTokens -= chunkTokens
        if (job.remainingPrefillTokens == 0L) {
            prefillJobs -= job
            decodingJobs += job
            touch(job.request.pieceNames)
            onPrefillEnd(job, (job.request.promptTokens - cachedTokens(job)).toLong())
            job.listener.onStarted(cachedTokens(job))
            loop.schedule(TimePerOutputToken * job.outputTokens) { if (decodingJobs.remove(job)) finish(job) }
        }
        onStateChange()
        startNextChunk()
    }

    private fun finish(job: Job) {
        job.listener.onFinished()
        onStateChange()
    }

    private fun cachedTokens(job: Job) = job.cachedPieces * workload.pieceTokens

    /** Marks pieces as used, the first piece last, so that a piece is evicted after the pieces that continue it. */
    private fun touch(pieces: List<Long>) {
        for (piece in pieces.asReversed()) {
            if (cache.put(piece, Unit) == null) onCacheEvent(piece, true)
            cache[piece]
        }
        while (cache.size > workload.cacheCapacityPieces) {
            val leastRecentlyUsed = cache.keys.first()
            cache.remove(leastRecentlyUsed)
            onCacheEvent(leastRecentlyUsed, false)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
        const val MAX_CHUNK_TOKENS = 4_000L
        const val MAX_PREFILL_JOBS = 2

        /** Share of the prefill speed that is lost when the engine decodes at full capacity. */
        const val DECODE_SLOWDOWN = 0.4
        val TimePerOutputToken = 25.milliseconds
    }
}

/** Receives the number of cached pieces of each request whose prefill starts. */
internal fun interface PrefillListener {
    fun onPrefillStarted(request: RoutingRequest, cachedPieces: Int, engine: SimulatedEngine)
}

/**
 * Simulates the agent beside an engine.
 *
 * It uses the library's fair queue, estimates the engine's cache from delayed and partly lost events, and reports
 * replica summaries.
 */
internal class SimulatedAgent(
    private val name: String,
    private val loop: EventLoop,
    private val workload: Workload,
    val engine: SimulatedEngine,
    private val cacheView: CacheView,
) {
    private val queue = FairQueue<Job>(timeSource = loop.clock)

    /** Number of queued requests that contain a piece. */
    private val queuedRequestsByPiece = HashMap<Long, Int>()
    private val residentPieces = HashSet<Long>()
    private val recentPieces = RecentPieces()
    private val prefillSpeed = PrefillSpeed(loop.clock)

    init {
        engine.onStateChange = ::startQueuedJobs
        engine.onPrefillEnd = { job, tokens ->
            prefillSpeed.recordPrefillEnd(tokens)
            queue.adjustCharge(job.request.clientAccount, job.expectedTokens, tokens)
        }
        engine.onCacheEvent = { piece, isResident ->
            if (cacheView.random.nextDouble() >= cacheView.eventLossRate) {
                loop.schedule(cacheView.random.nextInt(MAX_EVENT_DELAY_MILLIS).milliseconds) {
                    if (isResident) residentPieces += piece else residentPieces -= piece
                }
            }
        }
    }

    val queuedTokens: Long get() = queue.queuedTokens + engine.prefillJobs.sumOf { it.expectedTokens }

    /** Returns true if [piece] is cached or a queued or prefilling request will compute it. */
    fun willBeCached(piece: Long): Boolean = engine.isCached(piece) || piece in queuedRequestsByPiece ||
        engine.prefillJobs.any { piece in it.request.pieceNames }

    fun summary() = ReplicaSummary(
        endpoint = name,
        replica = name,
        model = ArrivalSource.MODEL,
        weights = ArrivalSource.WEIGHTS,
        engineIncarnation = "$name-${engine.incarnation}",
        accepting = engine.isUp,
        queuedTokens = queuedTokens,
        running = engine.decodingCount,
        capacity = workload.engineCapacity,
        recentPieces = recentPieces.shortNames(),
        prefillTokensPerSecond = prefillSpeed.tokensPerSecond,
    )

    fun offer(job: Job) {
        val request = job.request
        val cachedPieces = request.pieceNames.matchingPrefixLength {
            if (cacheView.isExact) engine.isCached(it) else it in residentPieces
        }
        job.expectedTokens = (request.promptTokens - cachedPieces * workload.pieceTokens).coerceAtLeast(1).toLong()
        val work = QueuedWork(request.requestId, request.clientAccount, job.expectedTokens, request.priority, job)
        if (!engine.isUp || queue.offer(work).isLeft()) {
            job.listener.onFailed(isNotExecuted = true)
        } else {
            request.pieceNames.forEach { queuedRequestsByPiece.merge(it, 1, Int::plus) }
            recentPieces.recordUse(request.pieceNames, cachedPieces)
            startQueuedJobs()
        }
    }

    /** Crashes the engine and fails all queued jobs as not executed. */
    fun crash() {
        engine.crash()
        residentPieces.clear()
        generateSequence { queue.poll() }.toList().forEach { it.content.listener.onFailed(isNotExecuted = true) }
        queuedRequestsByPiece.clear()
    }

    private fun startQueuedJobs() {
        while (engine.isUp && engine.hasCapacity) {
            val work = queue.poll() ?: return
            work.content.request.pieceNames.forEach { piece ->
                queuedRequestsByPiece.computeIfPresent(piece) { _, count -> (count - 1).takeIf { it > 0 } }
            }
            prefillSpeed.recordPrefillStart()
            engine.start(work.content)
        }
    }

    /**
     * Describes how an agent learns its engine's cache contents.
     *
     * @property isExact true if the agent reads the cache directly instead of using cache events.
     * @property eventLossRate share of the cache events that are lost.
     */
    class CacheView(val isExact: Boolean, val eventLossRate: Double, val random: Random)

    private companion object {
        const val MAX_EVENT_DELAY_MILLIS = 1_000
    }
}

/** Returns the number of elements before the first that does not match. */
internal inline fun <T> List<T>.matchingPrefixLength(matches: (T) -> Boolean): Int =
    indexOfFirst { !matches(it) }.let { if (it < 0) size else it }
