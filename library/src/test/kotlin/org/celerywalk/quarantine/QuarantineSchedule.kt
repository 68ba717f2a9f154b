package org.celerywalk.quarantine

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Fleet of instances that exchange their evidence with delays and losses, while requests with a deadly part crash
 * endpoints; the faults of the load and one restart of an instance come in between.
 */
internal class QuarantineSchedule(private val load: QuarantineLoad, seed: Int) {
    private class Sent(
        val parts: List<String>,
        val instance: Int,
        val sentAt: ComparableTimeMark,
        val answersAt: ComparableTimeMark,
        val isRetry: Boolean,
    ) {
        var hasBegun = false
    }

    private class Endpoint(val name: String) {
        var starts = 0
        var downUntil: ComparableTimeMark? = null
        var isStopping = false
        val waiting = mutableListOf<Sent>()
        val isUp: Boolean get() = downUntil?.hasPassedNow() ?: true
        val start: String get() = "$name/$starts"
    }

    private class Event(val at: ComparableTimeMark, val run: () -> Unit)

    private val random = Random(seed)
    private val clock = TestTimeSource()
    private val start = clock.markNow()
    private val faults = load.faults
    private val endpoints = List(load.endpoints) { Endpoint("e-$it") }
    private val instances = MutableList(load.instances) { PromptPartQuarantine(clock) }
    private val startedAt = MutableList<ComparableTimeMark>(load.instances) { start }
    private val events = mutableListOf<Event>()
    private val crashTimes = mutableMapOf<String, MutableList<Duration>>()
    private val sendTimes = mutableMapOf<String, MutableList<Duration>>()
    private val soundOutcomes = mutableListOf<Pair<Duration, Boolean>>()
    private val refusedSince = mutableMapOf<String, Duration>()
    private var longestRefusal = Duration.ZERO
    private var soundRefused = 0
    private var crashCount = 0
    private var storedParts = emptyMap<String, PartEvidence>()
    private var storedAt = start
    private var requestCount = 0

    fun play(): QuarantineHistory {
        scheduleFaults()
        while (start.elapsedNow() < END) {
            val now = start.elapsedNow()
            if (now % EXCHANGE_INTERVAL == 0) exchange()
            if (now % STORE_INTERVAL == 0) store()
            events.filter { it.at.hasPassedNow() }.sortedBy { it.at }.also { events -= it.toSet() }.forEach { it.run() }
            if (random.nextDouble() < load.requestsPerSecond * STEP.inWholeMilliseconds / MILLIS_PER_SECOND) request()
            endpoints.filter { it.isUp || it.isStopping }.forEach(::answer)
            clock += STEP
        }
        return history()
    }

    private operator fun Duration.rem(other: Duration) = (inWholeMilliseconds % other.inWholeMilliseconds).toInt()

    private fun after(delay: Duration, run: () -> Unit) {
        events += Event(clock.markNow() + delay, run)
    }

    private fun upTo(limit: Duration) = limit * random.nextDouble()

    private fun scheduleFaults() {
        after(RESTART_AT) { restart(0) }
        faults.restartAll?.let { after(it, ::restartAll) }
        faults.outages.forEach { outage ->
            endpoints.shuffled(random).take((load.endpoints * outage.share).toInt())
                .forEach { after(outage.at + upTo(outage.spread)) { crash(it) } }
        }
        faults.stops.forEach { after(it) { stop(endpoints.random(random)) } }
        faults.losses.forEach { after(it) { lose(endpoints.random(random)) } }
    }

    private fun exchange() = instances.indices.forEach { sender ->
        val evidence = instances[sender].evidence()
        instances.indices.filter { it != sender && random.nextDouble() >= LOSS }.forEach { receiver ->
            if (faults.maxReportDelay == Duration.ZERO) {
                instances[receiver].merge(evidence)
            } else {
                after(upTo(faults.maxReportDelay)) { instances[receiver].merge(evidence) }
            }
        }
    }

    private fun store() {
        storedParts = instances.fold(emptyMap()) { parts, instance -> parts + instance.quarantinedParts }
        storedAt = clock.markNow()
    }

    private fun restartAll() {
        val age = storedAt.elapsedNow()
        val evidence = storedParts.mapValues { (_, part) ->
            PartEvidence(part.crashes.mapValues { (_, crash) -> CrashAges(crash.sinceLoss + age) })
        }
        instances.indices.forEach { restart(it).merge(evidence) }
    }

    private fun restart(instance: Int): PromptPartQuarantine {
        startedAt[instance] = clock.markNow()
        return PromptPartQuarantine(clock).also { instances[instance] = it }
    }

    private fun request() {
        val isDeadly = start.elapsedNow() >= DEADLY_FROM && random.nextDouble() < load.deadlyShare
        val middle =
            if (isDeadly) "deadly-${random.nextInt(load.deadlyParts)}" else "b-${random.nextInt(load.secondParts)}"
        val parts = listOf("a-${random.nextInt(load.firstParts)}", middle, "own-${requestCount++}")
        send(parts, random.nextInt(load.instances), isRetry = false)
    }

    private fun send(parts: List<String>, instance: Int, isRetry: Boolean) {
        val decision = instances[instance].check(parts.dropLast(1)) { it.hashCode().mod(load.instances) == instance }
        val endpoint = endpoints.filter { it.isUp }.randomOrNull(random)
        val isSent = decision !is QuarantineDecision.Refused && endpoint != null
        if (!parts.isDeadly()) {
            recordDecision(parts, decision, isSent)
            if (!isRetry && endpoint != null) soundOutcomes += start.elapsedNow() to isSent
        }
        if (decision is QuarantineDecision.Trial && endpoint == null) {
            instances[instance].withdrawTrial(parts.dropLast(1))
        }
        if (decision is QuarantineDecision.Refused || endpoint == null) return
        if (parts.isDeadly() && isInTouch(instance)) {
            sendTimes.getOrPut(parts[1]) { mutableListOf() } += start.elapsedNow()
        }
        val prefill = random.nextInt(MIN_PREFILL_MILLIS, MAX_PREFILL_MILLIS).milliseconds
        endpoint.waiting += Sent(parts, instance, clock.markNow(), clock.markNow() + prefill, isRetry)
    }

    // The bound on requests with a harmful part counts those of instances that have run for the contact time.
    private fun isInTouch(instance: Int): Boolean =
        startedAt[instance].let { it == start || it.elapsedNow() >= CONTACT }

    private fun recordDecision(parts: List<String>, decision: QuarantineDecision, isSent: Boolean) {
        if (decision is QuarantineDecision.Refused) {
            soundRefused++
            refusedSince.getOrPut(decision.part) { start.elapsedNow() }
        } else if (isSent) {
            parts.mapNotNull(refusedSince::remove).forEach { endRefusal(it) }
        }
    }

    private fun endRefusal(since: Duration) {
        longestRefusal = maxOf(longestRefusal, start.elapsedNow() - since)
    }

    private fun answer(endpoint: Endpoint) {
        val due = endpoint.waiting.filter { it.answersAt.hasPassedNow() && !it.hasBegun }.sortedBy { it.answersAt }
        for (sent in due) {
            if (sent.parts.isDeadly()) {
                crashTimes.getOrPut(sent.parts[1]) { mutableListOf() } += start.elapsedNow()
                if (load.crashesAfterFirstEvent) begin(sent, endpoint)
                return crash(endpoint)
            }
            begin(sent, endpoint)
            endpoint.waiting -= sent
        }
        if (endpoint.isStopping && endpoint.waiting.isEmpty()) endpoint.isStopping = false
    }

    private fun begin(sent: Sent, endpoint: Endpoint) {
        sent.hasBegun = true
        instances[sent.instance].recordAnswer(endpoint.start, sent.parts.dropLast(1), sent.sentAt.elapsedNow())
    }

    private fun crash(endpoint: Endpoint) {
        if (!endpoint.isUp && !endpoint.isStopping) return
        crashCount++
        val endpointStart = endpoint.start
        val lost = end(endpoint)
        lost.forEach { sent ->
            if (faults.maxNoticeDelay == Duration.ZERO) {
                noticeCrash(sent, endpointStart)
            } else {
                after(upTo(faults.maxNoticeDelay)) { noticeCrash(sent, endpointStart) }
            }
        }
        if (load.canRetry) {
            lost.filter { !it.isRetry && !it.hasBegun }.forEach { send(it.parts, it.instance, isRetry = true) }
        }
    }

    private fun end(endpoint: Endpoint): List<Sent> {
        val lost = endpoint.waiting.toList()
        endpoint.waiting.clear()
        endpoint.starts++
        endpoint.isStopping = false
        endpoint.downUntil = clock.markNow() + DOWN_TIME
        return lost
    }

    private fun noticeCrash(sent: Sent, endpointStart: String) {
        val accusedParts = if (sent.hasBegun) emptyList() else sent.parts.dropLast(1)
        instances[sent.instance].recordCrash(
            endpointStart,
            accusedParts,
            CrashAges(sinceLoss = Duration.ZERO, sinceAlive = sent.sentAt.elapsedNow()),
        )
    }

    // A planned end is announced and the loss of a machine is silent, so neither counts as a crash.
    private fun stop(endpoint: Endpoint) {
        endpoint.isStopping = endpoint.waiting.isNotEmpty()
        endpoint.downUntil = clock.markNow() + DOWN_TIME
    }

    private fun lose(endpoint: Endpoint) {
        end(endpoint)
    }

    private fun history(): QuarantineHistory {
        val lastCrash = crashTimes.values.flatten().maxOrNull() ?: Duration.ZERO
        val sentTooLate = crashTimes.filterValues { it.size >= COUNTED_CRASHES }.mapValues { (part, crashes) ->
            sendTimes[part].orEmpty().count { it > crashes[COUNTED_CRASHES - 1] + CONTACT }
        }
        val sound = soundOutcomes.filter { (at) -> at > minOf(lastCrash, LAST_JUDGED) + CONTACT * 2 }
        refusedSince.values.forEach { endRefusal(it) }
        return QuarantineHistory(
            crashCount,
            sentTooLate,
            sound.count { (_, isSent) -> isSent }.toDouble() / sound.size,
            soundRefused,
            longestRefusal,
        )
    }

    private fun List<String>.isDeadly() = this[1].startsWith("deadly")

    private companion object {
        val STEP = 5.milliseconds
        val END = 60.seconds
        val DEADLY_FROM = 4.seconds
        val RESTART_AT = 20.seconds
        val LAST_JUDGED = 50.seconds
        val EXCHANGE_INTERVAL = 200.milliseconds
        val STORE_INTERVAL = 1.seconds
        val DOWN_TIME = 3.seconds
        val CONTACT = 3.seconds
        const val LOSS = 0.1
        const val COUNTED_CRASHES = 5
        const val MIN_PREFILL_MILLIS = 60
        const val MAX_PREFILL_MILLIS = 400
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
