package org.celerywalk.limit

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.FleetLoads
import org.celerywalk.routing.ServiceEndpointChooser
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Load and faults of one run of a [PlainServiceModel].
 *
 * @property load offered calls relative to the capacity of all replicas.
 * @property slowFactors factor on the service times of each replica.
 * @property lostReplicas number of replicas that refuse connections from a third of the run on.
 * @property rejectsExcess true if a full replica rejects calls, false if it lets up to 30 of them wait.
 */
internal data class PlainLoad(
    val load: Double,
    val slowFactors: List<Double> = listOf(1.0, 1.0, 1.0),
    val lostReplicas: Int = 0,
    val rejectsExcess: Boolean = true,
    val gateways: Int = 3,
)

/** Results of a run: calls answered within the latency target, by rank, and refusals. */
internal class PlainResult {
    val offered = IntArray(RANKS)
    val good = IntArray(RANKS)
    val sentByReplica = IntArray(REPLICAS)
    val latencies = mutableListOf<Duration>()
    val retryTimes = mutableListOf<Duration>()
    var refused = 0
    var rejections = 0
    var longestWait = Duration.ZERO

    val goodput: Int get() = good.sum()

    fun percentile(share: Double): Duration = latencies.sorted()[((latencies.size - 1) * share).toInt()]

    companion object {
        const val RANKS = 2
        const val REPLICAS = 3
    }
}

/**
 * Model of gateways in front of three replicas with six slots and calls of 20 to 90 ms. Gateways hear of each
 * other's calls every 100 ms. With [isGated] false, a gateway sends every call at once and repeats a rejected one at up
 * to three other replicas, as before.
 */
internal class PlainServiceModel(private val settings: PlainLoad, seed: Int, private val isGated: Boolean) {
    private class Event(val time: Duration, val number: Int, val action: () -> Unit)

    private class Call(val rank: Int, val arrivedAt: Duration, val work: Duration) {
        val sentTo = mutableListOf<Int>()
        var queued: QueuedCall<Call>? = null
        var replica = -1
    }

    private inner class Replica(val number: Int) {
        private val waiting = ArrayDeque<() -> Unit>()
        private var running = 0
        private val isLost get() = number < settings.lostReplicas && now > DURATION / 3

        /** Runs [work] and calls [onEnd] with false if the call was not executed. */
        fun receive(work: Duration, onEnd: (Boolean) -> Unit) {
            val run = {
                running++
                schedule(work * settings.slowFactors[number]) {
                    running--
                    onEnd(true)
                    waiting.removeFirstOrNull()?.invoke()
                }
            }
            when {
                isLost -> onEnd(false)
                running < SLOTS -> run()
                !settings.rejectsExcess && waiting.size < MAX_WAITING -> waiting += run
                else -> {
                    result.rejections++
                    onEnd(false)
                }
            }
        }
    }

    private inner class Gateway(private val number: Int) {
        val loads = FleetLoads(clock)
        private val capacities = EndpointCapacities(clock)
        private val chooser = ServiceEndpointChooser(loads, "dc", capacities, { settings.gateways }, random)
        private val admission = CallAdmission(clock, random, ::tryStart, ::decide)

        fun report(peer: Gateway) {
            val work = endpoints.associate { it.id to peer.loads.getOrCreate(it.id).ownRankedWork }
            loads.recordPeerReport("g${peer.number}", work, isComplete = true)
        }

        fun recheck() = admission.decideWaiting()

        fun handle(call: Call) {
            if (isGated) offer(call) else sendAtOnce(call)
        }

        private fun offer(call: Call) {
            val spent = now - call.arrivedAt
            val latestStart = clock.markNow() + (TARGET / 2 - spent)
            val queued = QueuedCall(call.rank, latestStart, call)
            val decision = admission.offer(queued) {
                val own = endpoints.sumOf { loads.getOrCreate(it.id).ownWork.calls }.coerceAtLeast(1)
                endpoints.map { loads.getOrCreate(it.id).averageServiceTime }.reduce(Duration::plus) / REPLICAS / own
            }
            if (decision !is CallDecision.Waiting) decide(call, decision)
        }

        private fun decide(call: Call, decision: CallDecision) {
            result.longestWait = maxOf(result.longestWait, now - call.arrivedAt)
            when (decision) {
                is CallDecision.Refused -> {
                    result.refused++
                    result.retryTimes += decision.retryAfter
                }
                else -> send(call)
            }
        }

        private fun tryStart(call: Call): Boolean {
            val chosen = chooser.chooseWithRoom(endpoints.filter { it.id.toInt() !in call.sentTo }) ?: return false
            call.replica = chosen.id.toInt()
            loads.getOrCreate(chosen.id).add(SINGLE_CALL)
            return true
        }

        private fun sendAtOnce(call: Call) {
            val chosen = chooser.choose(endpoints.filter { it.id.toInt() !in call.sentTo })
            if (chosen == null) {
                result.refused++
            } else {
                call.replica = chosen.id.toInt()
                loads.getOrCreate(chosen.id).add(SINGLE_CALL)
                send(call)
            }
        }

        private fun send(call: Call) {
            val endpoint = endpoints[call.replica]
            val load = loads.getOrCreate(endpoint.id)
            val capacity = capacities.getOrCreate(endpoint.id, SLOTS)
            val inFlight = load.work().calls
            val sentAt = now
            call.sentTo += call.replica
            result.sentByReplica[call.replica]++
            schedule(LINK) {
                replicas[endpoint.id.toInt()].receive(call.work) { wasExecuted ->
                    schedule(LINK) {
                        load.remove(SINGLE_CALL)
                        if (wasExecuted) {
                            load.recordServiceTime(now - sentAt)
                            load.health.recordAnswer(error = false)
                            capacity.recordAnswer(now - sentAt, inFlight)
                            complete(call)
                        } else {
                            if (settings.lostReplicas > 0) load.health.recordFailure()
                            capacity.recordRejection(inFlight)
                            if (call.sentTo.size < REPLICAS) handle(call) else result.refused++
                        }
                        admission.decideWaiting()
                    }
                }
            }
        }

        private fun complete(call: Call) {
            result.latencies += now - call.arrivedAt
            if (now - call.arrivedAt <= TARGET) result.good[call.rank]++
        }
    }

    private val clock = TestTimeSource()
    private val random = Random(seed)

    // Not used by decisions, so that both ways get the same calls.
    private val arrivals = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.time }, { it.number }))
    private var scheduled = 0
    private var now = Duration.ZERO
    private val result = PlainResult()
    private val endpoints = List(REPLICAS) {
        RegisteredEndpoint("$it", "s", "10.0.0.$it:80", "dc", SLOTS, isDraining = false, 0, emptyMap())
    }
    private val replicas = List(REPLICAS) { Replica(it) }
    private val gateways = List(settings.gateways) { Gateway(it) }

    /** Runs the model and returns its results. */
    fun run(): PlainResult {
        schedule(Duration.ZERO, ::arrive)
        schedule(REPORT_INTERVAL, ::exchange)
        schedule(RECHECK_INTERVAL, ::recheck)
        while (events.isNotEmpty()) {
            val event = events.poll()
            clock += event.time - now
            now = event.time
            event.action()
        }
        return result
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, scheduled++, action)
    }

    private fun arrive() {
        if (now > DURATION) return
        val call = Call(if (arrivals.nextInt(3) == 0) 0 else 1, now, arrivals.nextInt(MIN_WORK, MAX_WORK).milliseconds)
        result.offered[call.rank]++
        gateways[arrivals.nextInt(settings.gateways)].handle(call)
        val rate = REPLICAS * SLOTS * settings.load / (MEAN_WORK + LINK * 2).inWholeMicroseconds
        schedule((-ln(1 - arrivals.nextDouble()) / rate).microseconds, ::arrive)
    }

    private fun exchange() {
        gateways.forEach { gateway -> gateways.filter { it !== gateway }.forEach(gateway::report) }
        if (now < DURATION) schedule(REPORT_INTERVAL, ::exchange)
    }

    private fun recheck() {
        gateways.forEach { it.recheck() }
        if (now < DURATION + TARGET) schedule(RECHECK_INTERVAL, ::recheck)
    }

    companion object {
        val TARGET = 200.milliseconds
        private const val REPLICAS = 3
        private const val SLOTS = 6
        private const val MAX_WAITING = 30
        private const val MIN_WORK = 20
        private const val MAX_WORK = 91
        private val MEAN_WORK = 55.milliseconds
        private val LINK = 1.milliseconds
        private val DURATION = 20.seconds
        private val REPORT_INTERVAL = 100.milliseconds
        private val RECHECK_INTERVAL = 25.milliseconds
        private val SINGLE_CALL = EndpointWork(calls = 1)
    }
}
