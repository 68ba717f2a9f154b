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

/** Runs actions in the order of their times on a paused clock. */
internal class EventLoop {
    val clock = TestTimeSource()
    var now: Duration = Duration.ZERO
        private set
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.sequence }))
    private var sequence = 0L

    fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, sequence++, action)
    }

    fun run(until: Duration) {
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.poll()
            clock += event.at - now
            now = event.at
            event.action()
        }
    }

    private class Event(val at: Duration, val sequence: Long, val action: () -> Unit)
}

/** Holds one attempt at a replica. The callbacks tell the entry what becomes of it. */
internal class Job(val request: RoutingRequest, val outputTokens: Int, val events: JobEvents) {
    var expectedTokens = 0L
    var cachedPieces = -1
    var remainingTokens = request.promptTokens.toLong()
}

/** Receives what becomes of a job, at the replica's side. */
internal interface JobEvents {
    fun started(cachedTokens: Int)

    fun finished()

    /** The attempt ended without an answer; [notRun] is true if the agent refused it. */
    fun failed(notRun: Boolean)
}

/** Fakes an engine: prefill in chunks by priority, decoding in slots, a bounded cache of pieces with eviction. */
internal class FakeEngine(
    private val loop: EventLoop,
    private val workload: Workload,
    private val log: ComputeLog,
) {
    val jobs = ArrayList<Job>()
    private val running = LinkedHashSet<Job>()
    private val cache = LinkedHashMap<Long, Unit>(workload.cachePieces * 2, LOAD_FACTOR, true)
    private var busy = false
    var speedFactor = 1.0
    var up = true
        private set
    var incarnation = 0
        private set
    var onChange: () -> Unit = {}
    var onPrefillEnd: (job: Job, computedTokens: Long) -> Unit = { _, _ -> }
    var onCacheEvent: (piece: Long, resident: Boolean) -> Unit = { _, _ -> }

    val runningCount: Int get() = running.size

    /** True if the engine takes another request; the others wait in the agent's fair queue. */
    val hasRoom: Boolean get() = jobs.size < MAX_PREFILLS && jobs.size + running.size < workload.slots

    /** Prefill speed at the present number of decoding requests. */
    val tokensPerSecond: Double
        get() = workload.prefillTokensPerSecond * speedFactor * (1 - DECODE_COST * running.size / workload.slots)

    fun holds(piece: Long): Boolean = piece in cache

    fun cachedPieces(pieces: List<Long>): Int = pieces.prefixLength(::holds)

    fun start(job: Job) {
        jobs += job
        step()
    }

    fun crash() {
        up = false
        val lost = jobs + running
        jobs.forEach { onPrefillEnd(it, 0) }
        jobs.clear()
        running.clear()
        cache.clear()
        busy = false
        lost.forEach { it.events.failed(notRun = false) }
    }

    fun restart() {
        incarnation++
        up = true
        onChange()
    }

    private fun step() {
        if (busy || jobs.isEmpty()) return
        val job = jobs.maxBy { it.request.priority }
        if (job.cachedPieces < 0) {
            job.cachedPieces = cachedPieces(job.request.pieceNames)
            touch(job.request.pieceNames.take(job.cachedPieces))
            // At least one token is computed, because the first answer token needs the last prompt token's state.
            job.remainingTokens = (job.request.promptTokens - cachedTokens(job)).coerceAtLeast(1).toLong()
            log.computed(job.request, job.cachedPieces, this)
        }
        val chunk = job.remainingTokens.coerceAtMost(CHUNK_TOKENS)
        busy = true
        val epoch = incarnation
        loop.after((chunk / tokensPerSecond).seconds) { if (up && epoch == incarnation) chunkDone(job, chunk) }
    }

    private fun chunkDone(job: Job, chunk: Long) {
        busy = false
        job.remainingTokens -= chunk
        if (job.remainingTokens == 0L) {
            jobs -= job
            running += job
            touch(job.request.pieceNames)
            onPrefillEnd(job, (job.request.promptTokens - cachedTokens(job)).toLong())
            job.events.started(cachedTokens(job))
            loop.after(TokenTime * job.outputTokens) { if (running.remove(job)) finished(job) }
        }
        onChange()
        step()
    }

    private fun finished(job: Job) {
        job.events.finished()
        onChange()
    }

    private fun cachedTokens(job: Job) = job.cachedPieces * workload.pieceTokens

    /** Marks pieces as used, the first piece last, so that a prefix is evicted after what continues it. */
    private fun touch(pieces: List<Long>) {
        for (piece in pieces.asReversed()) {
            if (cache.put(piece, Unit) == null) onCacheEvent(piece, true)
            cache[piece]
        }
        while (cache.size > workload.cachePieces) {
            val eldest = cache.keys.first()
            cache.remove(eldest)
            onCacheEvent(eldest, false)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
        const val CHUNK_TOKENS = 4_000L
        const val MAX_PREFILLS = 2

        /** Share of the prefill speed that is lost when all slots decode. */
        const val DECODE_COST = 0.4
        val TokenTime = 25.milliseconds
    }
}

/** Counts computed and wasted tokens. */
internal fun interface ComputeLog {
    fun computed(request: RoutingRequest, cachedPieces: Int, engine: FakeEngine)
}

/** Fakes the process beside an engine: the library's fair queue, a cache estimate from lossy events, summaries. */
internal class FakeAgent(
    private val name: String,
    private val loop: EventLoop,
    private val workload: Workload,
    val engine: FakeEngine,
    private val sees: CacheView,
) {
    private val queue = FairQueue<Job>(timeSource = loop.clock)
    private val waitingPieces = HashMap<Long, Int>()
    private val resident = HashSet<Long>()
    private val recent = RecentPieces()
    private val speed = PrefillSpeed(loop.clock)

    init {
        engine.onChange = ::pump
        engine.onPrefillEnd = { job, tokens ->
            speed.ended(tokens)
            queue.adjustCharge(job.request.clientAccount, job.expectedTokens, tokens)
        }
        engine.onCacheEvent = { piece, isResident ->
            if (sees.random.nextDouble() >= sees.loss) {
                loop.after(sees.random.nextInt(MAX_LAG_MILLIS).milliseconds) {
                    if (isResident) resident += piece else resident -= piece
                }
            }
        }
    }

    val queuedTokens: Long get() = queue.queuedTokens + engine.jobs.sumOf { it.expectedTokens }

    /** True if [piece] is cached or a request that waits here will compute it. */
    fun willHold(piece: Long): Boolean = engine.holds(piece) || piece in waitingPieces ||
        engine.jobs.any { piece in it.request.pieceNames }

    fun summary() = ReplicaSummary(
        endpoint = name,
        replica = name,
        model = ArrivalSource.MODEL,
        weights = ArrivalSource.WEIGHTS,
        engineIncarnation = "$name-${engine.incarnation}",
        accepting = engine.up,
        queuedTokens = queuedTokens,
        running = engine.runningCount,
        capacity = workload.slots,
        recentPieces = recent.shortNames(),
        prefillTokensPerSecond = speed.tokensPerSecond,
    )

    fun offer(job: Job) {
        val request = job.request
        val pieces = request.pieceNames.prefixLength { if (sees.exact) engine.holds(it) else it in resident }
        job.expectedTokens = (request.promptTokens - pieces * workload.pieceTokens).coerceAtLeast(1).toLong()
        val work = QueuedWork(request.requestId, request.clientAccount, job.expectedTokens, request.priority, job)
        if (!engine.up || queue.offer(work).isLeft()) {
            job.events.failed(notRun = true)
        } else {
            request.pieceNames.forEach { waitingPieces.merge(it, 1, Int::plus) }
            recent.recordUse(request.pieceNames, pieces)
            pump()
        }
    }

    fun crash() {
        engine.crash()
        resident.clear()
        generateSequence { queue.poll() }.toList().forEach { it.content.events.failed(notRun = true) }
        waitingPieces.clear()
    }

    private fun pump() {
        while (engine.up && engine.hasRoom) {
            val work = queue.poll() ?: return
            work.content.request.pieceNames.forEach { piece ->
                waitingPieces.computeIfPresent(piece) { _, count -> (count - 1).takeIf { it > 0 } }
            }
            speed.started()
            engine.start(work.content)
        }
    }

    /** Says how the agent learns what its engine holds. */
    class CacheView(val exact: Boolean, val loss: Double, val random: Random)

    private companion object {
        const val MAX_LAG_MILLIS = 1_000
    }
}

/** Returns the number of elements before the first that does not match. */
internal inline fun <T> List<T>.prefixLength(matches: (T) -> Boolean): Int =
    indexOfFirst { !matches(it) }.let { if (it < 0) size else it }
