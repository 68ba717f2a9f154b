package org.celerywalk.quarantine

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Load of one schedule.
 *
 * @property requestsPerSecond requests of all callers together.
 * @property deadlyShare share of the requests that have a deadly part.
 * @property deadlyParts number of deadly parts.
 * @property firstParts number of first parts, which all requests share.
 * @property canRetry whether an instance sends a request again that an endpoint lost before it answered.
 */
internal data class QuarantineLoad(
    val instances: Int,
    val endpoints: Int,
    val requestsPerSecond: Int,
    val deadlyShare: Double,
    val deadlyParts: Int,
    val firstParts: Int,
    val canRetry: Boolean,
)

/**
 * What one schedule showed.
 *
 * @property sentTooLate requests by deadly part that were sent later than the contact bound after its fifth crash.
 * @property soundServed share of the sound requests that began at their first attempt, from twice the contact bound
 *   after the last crash on.
 */
internal data class QuarantineHistory(val crashes: Int, val sentTooLate: Map<String, Int>, val soundServed: Double)

/**
 * Fleet of instances that exchange their evidence with delays and losses, while requests with a deadly part crash
 * endpoints; unrelated crashes and one restart of an instance come in between.
 */
internal class QuarantineSchedule(private val load: QuarantineLoad, seed: Int) {
    private class Sent(
        val parts: List<String>,
        val instance: Int,
        val answersAt: ComparableTimeMark,
        val isRetry: Boolean,
    )

    private class Endpoint(val name: String, var starts: Int = 0, var downUntil: ComparableTimeMark? = null) {
        val waiting = mutableListOf<Sent>()
        val isUp: Boolean get() = downUntil?.hasPassedNow() ?: true
    }

    private val random = Random(seed)
    private val clock = TestTimeSource()
    private val start = clock.markNow()
    private val endpoints = List(load.endpoints) { Endpoint("e-$it") }
    private val instances = MutableList(load.instances) { PromptPartQuarantine(clock) }
    private val crashTimes = mutableMapOf<String, MutableList<Duration>>()
    private val sendTimes = mutableMapOf<String, MutableList<Duration>>()
    private val soundOutcomes = mutableListOf<Pair<Duration, Boolean>>()
    private var requestCount = 0

    fun play(): QuarantineHistory {
        while (start.elapsedNow() < END) {
            val now = start.elapsedNow()
            if (now % EXCHANGE_INTERVAL == 0) exchange()
            if (now == RESTART_AT) instances[0] = PromptPartQuarantine(clock)
            if (now == UNRELATED_CRASH_AT) endpoints.take(load.endpoints / 2).forEach { crash(it) }
            if (random.nextDouble() < load.requestsPerSecond * STEP.inWholeMilliseconds / MILLIS_PER_SECOND) request()
            endpoints.filter { it.isUp }.forEach(::answer)
            clock += STEP
        }
        return history()
    }

    private operator fun Duration.rem(other: Duration) = (inWholeMilliseconds % other.inWholeMilliseconds).toInt()

    private fun exchange() = instances.indices.forEach { sender ->
        val evidence = instances[sender].evidence()
        instances.indices.filter { it != sender && random.nextDouble() >= LOSS }
            .forEach { instances[it].merge(evidence) }
    }

    private fun request() {
        val isDeadly = start.elapsedNow() >= DEADLY_FROM && random.nextDouble() < load.deadlyShare
        val middle = if (isDeadly) "deadly-${random.nextInt(load.deadlyParts)}" else "b-${random.nextInt(SECOND_PARTS)}"
        val parts = listOf("a-${random.nextInt(load.firstParts)}", middle, "own-${requestCount++}")
        send(parts, random.nextInt(load.instances), isRetry = false)
    }

    private fun send(parts: List<String>, instance: Int, isRetry: Boolean) {
        val decision = instances[instance].check(parts.dropLast(1)) { it.hashCode().mod(load.instances) == instance }
        val endpoint = endpoints.filter { it.isUp }.randomOrNull(random)
        val isSent = decision !is QuarantineDecision.Refused && endpoint != null
        if (!parts.isDeadly() && !isRetry && endpoint != null) soundOutcomes += start.elapsedNow() to isSent
        if (decision is QuarantineDecision.Refused || endpoint == null) return
        if (parts.isDeadly()) sendTimes.getOrPut(parts[1]) { mutableListOf() } += start.elapsedNow()
        val prefill = random.nextInt(MIN_PREFILL_MILLIS, MAX_PREFILL_MILLIS).milliseconds
        endpoint.waiting += Sent(parts, instance, clock.markNow() + prefill, isRetry)
    }

    private fun answer(endpoint: Endpoint) {
        val due = endpoint.waiting.filter { it.answersAt.hasPassedNow() }.sortedBy { it.answersAt }
        for (sent in due) {
            if (sent.parts.isDeadly()) {
                crashTimes.getOrPut(sent.parts[1]) { mutableListOf() } += start.elapsedNow()
                return crash(endpoint)
            }
            endpoint.waiting -= sent
            instances[sent.instance].recordAnswer(sent.parts.dropLast(1))
        }
    }

    private fun crash(endpoint: Endpoint) {
        val lost = endpoint.waiting.toList()
        endpoint.waiting.clear()
        val endpointStart = "${endpoint.name}/${endpoint.starts++}"
        endpoint.downUntil = clock.markNow() + DOWN_TIME
        lost.forEach { instances[it.instance].recordCrash(endpointStart, it.parts.dropLast(1)) }
        if (load.canRetry) lost.filter { !it.isRetry }.forEach { send(it.parts, it.instance, isRetry = true) }
    }

    private fun history(): QuarantineHistory {
        val lastCrash = crashTimes.values.flatten().maxOrNull() ?: Duration.ZERO
        val sentTooLate = crashTimes.filterValues { it.size >= COUNTED_CRASHES }.mapValues { (part, crashes) ->
            sendTimes.getValue(part).count { it > crashes[COUNTED_CRASHES - 1] + CONTACT }
        }
        val sound = soundOutcomes.filter { (at) -> at > minOf(lastCrash, LAST_JUDGED) + CONTACT * 2 }
        return QuarantineHistory(
            crashTimes.values.sumOf { it.size },
            sentTooLate,
            sound.count { (_, isSent) -> isSent }.toDouble() / sound.size,
        )
    }

    private fun List<String>.isDeadly() = this[1].startsWith("deadly")

    private companion object {
        val STEP = 5.milliseconds
        val END = 60.seconds
        val DEADLY_FROM = 4.seconds
        val RESTART_AT = 20.seconds
        val UNRELATED_CRASH_AT = 30.seconds
        val LAST_JUDGED = 50.seconds
        val EXCHANGE_INTERVAL = 200.milliseconds
        val DOWN_TIME = 3.seconds
        val CONTACT = 3.seconds
        const val LOSS = 0.1
        const val COUNTED_CRASHES = 5
        const val SECOND_PARTS = 300
        const val MIN_PREFILL_MILLIS = 60
        const val MAX_PREFILL_MILLIS = 400
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
