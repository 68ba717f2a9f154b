package org.celerywalk.cache

import org.celerywalk.endpoint.ActualEngine
import org.celerywalk.endpoint.WantedEngine
import org.celerywalk.endpoint.checkDispatch
import org.celerywalk.simulation.Simulation

/**
 * Runs requests, imports and cache events of two engines under a generated schedule of faults.
 *
 * Engines crash and come back empty, weights change without the cache being cleared, cache events are lost or late,
 * entries decide on old statuses, requests wait before they are dispatched, and imports take time.
 */
internal class CacheSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val engines = List(2) { Engine("engine $it") }

    /** Uses of cache entries that had another origin or belonged to a dead engine. */
    val wrongUses = ArrayList<String>()

    /** Requests that found something in a cache. */
    var hits = 0

    /** Estimates that differ from the engine's cache after the faults ended and the events were read. */
    val wrongEstimates get() = engines.filter { it.estimate() != it.cache.keys }.map { it.name }

    fun run() {
        repeat(REQUESTS) { simulation.after(simulation.random.nextLong(FAULTS_END)) { decide() } }
        repeat(FAULTS) { simulation.after(simulation.random.nextLong(FAULTS_END)) { fault() } }
        repeat((FAULTS_END * 2 / PERIOD).toInt()) { round ->
            simulation.after(round * PERIOD) { engines.forEach { it.followEvents() } }
        }
        simulation.run(FAULTS_END * 2)
    }

    private fun fault() {
        val engine = engines.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KINDS)) {
            0 -> engine.crash()
            1 -> engine.weights = WEIGHTS.random(simulation.random)
            2 -> engine.events.removeLastOrNull()
            else -> copy(engine, engines.random(simulation.random))
        }
    }

    /** Decides on the engine's present state; the request arrives later. */
    private fun decide() {
        val engine = engines.random(simulation.random)
        val account = ACCOUNTS.random(simulation.random)
        val weights = engine.weights
        val names = PieceNames(account, "m", weights, 1).of(PROMPTS.random(simulation.random))
        simulation.after(simulation.randomDelayMillis(LATE)) {
            val actual = ActualEngine("m", engine.weights, loading = false)
            val wanted = WantedEngine("agent", "m", weights, 0)
            if (checkDispatch(wanted, "agent", actual, leaving = false, nowMillis = 0) == null) {
                engine.serve(KvOrigin(account, "m", engine.weights), names)
            }
        }
    }

    /** Copies what an account has on [from] to [to]; both may change while the copy is under way. */
    private fun copy(from: Engine, to: Engine) {
        val account = ACCOUNTS.random(simulation.random)
        val before = KvOrigin(account, "m", from.weights)
        simulation.after(simulation.randomDelayMillis(LATE)) {
            val content = from.cache.filterValues { it.origin.clientAccount == account }
            val names = PROMPTS.flatMap { PieceNames(account, "m", from.weights, 1).of(it) }
            val after = KvOrigin(account, "m", from.weights)
            simulation.after(simulation.randomDelayMillis(LATE)) {
                val wanted = KvOrigin(account, "m", to.weights)
                // The engine stores an import under the names of its present weights.
                val targets = PROMPTS.flatMap { PieceNames(account, "m", to.weights, 1).of(it) }
                if (mayImport(before, after, wanted)) to.import(names.zip(targets), content)
            }
        }
    }

    private class Entry(val origin: KvOrigin, val incarnation: String)

    private inner class Engine(val name: String) {
        private var crashes = 0
        private val resident = ResidentPieces()
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
            val found = names.takeWhile { it in cache }
            if (found.isNotEmpty()) hits++
            found.map { cache.getValue(it) }
                .filter { it.origin != origin || it.incarnation != incarnation }
                .forEach { wrongUses += "$origin used an entry of ${it.origin}, ${it.incarnation}" }
            resident.answered(incarnation, names, found.size)
            (names - found.toSet()).forEach { store(it, Entry(origin, incarnation)) }
        }

        fun import(names: List<Pair<Long, Long>>, content: Map<Long, Entry>) = names.forEach { (from, to) ->
            content[from]?.let { if (to !in cache) store(to, Entry(it.origin, incarnation)) }
        }

        private fun store(piece: Long, entry: Entry) {
            cache[piece] = entry
            events += PieceEvent(++sequence, piece, resident = true)
            while (cache.size > CAPACITY) {
                val oldest = cache.keys.first()
                cache.remove(oldest)
                events += PieceEvent(++sequence, oldest, resident = false)
            }
        }

        fun followEvents() {
            val running = incarnation
            val newest = sequence
            if (resident.needsReread) {
                val list = cache.keys.toList()
                simulation.after(simulation.randomDelayMillis(PERIOD)) { resident.reread(running, newest, list) }
            } else {
                val read = events.filter { it.sequence > resident.lastSequence }
                val kept = if (simulation.now < FAULTS_END && simulation.chance(LOST)) read.drop(1) else read
                simulation.after(simulation.randomDelayMillis(PERIOD)) { resident.apply(running, newest, kept) }
            }
        }

        fun estimate() = NAMED.filter { resident.depth(incarnation, listOf(it)) == 1 }.toSet()
    }

    private companion object {
        val ACCOUNTS = listOf("kyushu", "honshu")
        val WEIGHTS = listOf("w1", "w2", "w3")
        val PROMPTS = listOf("abcdefghijkl", "abcdefgh", "abcdWXYZ", "mnopqrst")
        val NAMED = ACCOUNTS.flatMap { account ->
            WEIGHTS.flatMap { weights -> PROMPTS.flatMap { PieceNames(account, "m", weights, 1).of(it) } }
        }.toSet()
        const val CAPACITY = 12
        const val REQUESTS = 60
        const val FAULTS = 20
        const val FAULT_KINDS = 6
        const val LOST = 30
        const val LATE = 3_000L
        const val PERIOD = 250L
        const val FAULTS_END = 30_000L
    }
}
