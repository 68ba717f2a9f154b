package org.celerywalk.cache

import org.celerywalk.endpoint.ExpectedEngine
import org.celerywalk.endpoint.ReportedEngine
import org.celerywalk.endpoint.checkDispatch
import org.celerywalk.simulation.Simulation

/**
 * Simulates requests, imports and cache events of two engines under a generated schedule of faults.
 *
 * Engines crash and restart with an empty cache, weights change while the cache keeps its entries, cache events are
 * lost or late, entries place requests by an outdated status, requests wait before they are dispatched, and imports
 * take time.
 */
internal class CacheSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val engines = List(2) { Engine("engine $it") }

    /** Uses of cache entries that had another origin or belonged to an earlier incarnation of the engine. */
    val invalidUses = ArrayList<String>()

    /** Number of requests with a cache hit. */
    var hitCount = 0

    /** Engines whose estimate differs from their cache after the faults have ended and the events were read. */
    val enginesWithWrongEstimate get() = engines.filter { it.estimatedPieces() != it.cache.keys }.map { it.name }

    fun run() {
        repeat(REQUEST_COUNT) { simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) { sendRequest() } }
        repeat(FAULT_COUNT) { simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) { injectFault() } }
        repeat((FAULTS_END_MILLIS * 2 / EVENT_PERIOD_MILLIS).toInt()) { round ->
            simulation.schedule(round * EVENT_PERIOD_MILLIS) { engines.forEach { it.followEvents() } }
        }
        simulation.run(FAULTS_END_MILLIS * 2)
    }

    private fun injectFault() {
        val engine = engines.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KIND_COUNT)) {
            0 -> engine.crash()
            1 -> engine.weights = WEIGHTS.random(simulation.random)
            2 -> engine.events.removeLastOrNull()
            else -> copyCache(engine, engines.random(simulation.random))
        }
    }

    /** Places a request by the engine's current state; the request arrives later. */
    private fun sendRequest() {
        val engine = engines.random(simulation.random)
        val account = ACCOUNTS.random(simulation.random)
        val weights = engine.weights
        val names = PieceNames(account, "m", weights, 1).forPrompt(PROMPTS.random(simulation.random))
        simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
            val reported = ReportedEngine("m", engine.weights, isLoading = false)
            val expected = ExpectedEngine("agent", "m", weights, 0)
            if (checkDispatch(expected, "agent", reported, isDraining = false, nowMillis = 0) == null) {
                engine.serve(KvOrigin(account, "m", engine.weights), names)
            }
        }
    }

    /** Copies the cache entries of one account between two engines, which may both change during the copy. */
    private fun copyCache(from: Engine, to: Engine) {
        val account = ACCOUNTS.random(simulation.random)
        val before = KvOrigin(account, "m", from.weights)
        simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
            val exportedEntries = from.cache.filterValues { it.origin.clientAccount == account }
            val names = PROMPTS.flatMap { PieceNames(account, "m", from.weights, 1).forPrompt(it) }
            val after = KvOrigin(account, "m", from.weights)
            simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
                val importTarget = KvOrigin(account, "m", to.weights)
                // The engine stores an import under the names of its current weights.
                val importNames = PROMPTS.flatMap { PieceNames(account, "m", to.weights, 1).forPrompt(it) }
                if (mayImport(before, after, importTarget)) to.import(names.zip(importNames), exportedEntries)
            }
        }
    }

    private class Entry(val origin: KvOrigin, val incarnation: String)

    private inner class Engine(val name: String) {
        private var crashes = 0
        private val estimate = ResidentPieces()
        private var sequence = 0L
        val cache = LinkedHashMap<Long, Entry>()
        val events = ArrayList<PieceEvent>()
        var weights = WEIGHTS.first()
        private val incarnation get() = "$name/$crashes"

        fun crash() {
            crashes++
            cache.clear()
            events.clear()
            sequence = 0
        }

        fun serve(origin: KvOrigin, names: List<Long>) {
            val cachedNames = names.takeWhile { it in cache }
            if (cachedNames.isNotEmpty()) hitCount++
            cachedNames.map { cache.getValue(it) }
                .filter { it.origin != origin || it.incarnation != incarnation }
                .forEach { invalidUses += "$origin used an entry of ${it.origin}, ${it.incarnation}" }
            estimate.recordAnswer(incarnation, names, cachedNames.size)
            (names - cachedNames.toSet()).forEach { store(it, Entry(origin, incarnation)) }
        }

        fun import(names: List<Pair<Long, Long>>, exportedEntries: Map<Long, Entry>) = names.forEach { (from, to) ->
            exportedEntries[from]?.let { if (to !in cache) store(to, Entry(it.origin, incarnation)) }
        }

        private fun store(piece: Long, entry: Entry) {
            cache[piece] = entry
            events += PieceEvent(++sequence, piece, isResident = true)
            while (cache.size > CACHE_CAPACITY_PIECES) {
                val oldest = cache.keys.first()
                cache.remove(oldest)
                events += PieceEvent(++sequence, oldest, isResident = false)
            }
        }

        fun followEvents() {
            val eventIncarnation = incarnation
            val newestSequence = sequence
            if (estimate.needsFullRead) {
                val residentPieces = cache.keys.toList()
                simulation.schedule(simulation.randomDelayMillis(EVENT_PERIOD_MILLIS)) {
                    estimate.replaceAll(eventIncarnation, newestSequence, residentPieces)
                }
            } else {
                val unreadEvents = events.filter { it.sequence > estimate.lastSequence }
                val receivedEvents =
                    if (simulation.nowMillis < FAULTS_END_MILLIS && simulation.randomBoolean(LOSS_PERCENT)) {
                        unreadEvents.drop(1)
                    } else {
                        unreadEvents
                    }
                simulation.schedule(simulation.randomDelayMillis(EVENT_PERIOD_MILLIS)) {
                    estimate.apply(eventIncarnation, newestSequence, receivedEvents)
                }
            }
        }

        fun estimatedPieces() =
            ALL_PIECE_NAMES.filter { estimate.prefixPieceCount(incarnation, listOf(it)) == 1 }.toSet()
    }

    private companion object {
        val ACCOUNTS = listOf("kyushu", "honshu")
        val WEIGHTS = listOf("w1", "w2", "w3")
        val PROMPTS = listOf("abcdefghijkl", "abcdefgh", "abcdWXYZ", "mnopqrst")
        val ALL_PIECE_NAMES = ACCOUNTS.flatMap { account ->
            WEIGHTS.flatMap { weights -> PROMPTS.flatMap { PieceNames(account, "m", weights, 1).forPrompt(it) } }
        }.toSet()
        const val CACHE_CAPACITY_PIECES = 12
        const val REQUEST_COUNT = 60
        const val FAULT_COUNT = 20
        const val FAULT_KIND_COUNT = 6
        const val LOSS_PERCENT = 30
        const val MAX_DELAY_MILLIS = 3_000L
        const val EVENT_PERIOD_MILLIS = 250L
        const val FAULTS_END_MILLIS = 30_000L
    }
}
