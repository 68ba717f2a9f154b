package org.celerywalk.gateway

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.OrderOutcome
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.platform.wire.WeightOrder
import org.celerywalk.weights.NamedWeights
import org.celerywalk.weights.WeightRollout
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Brings model replicas to the newest named weights, a few at a time, while this process may give orders. */
internal class WeightsDuty(
    private val state: FleetState,
    private val lease: OrderLeaseKeeper,
    private val replicas: ReplicaCalls,
    private val log: EventLog,
    private val othersGiveOrders: () -> Boolean,
    private val onOrdered: () -> Unit,
) : AutoCloseable {
    private class Loading(val weights: NamedWeights, val since: ComparableTimeMark)

    private val rollout = WeightRollout(state.loads)
    private val loading = HashMap<String, Loading>()
    private val orderedCounts = HashMap<String, Long>()
    private val duty = PeriodicDuty("weights", PERIOD, log, ::step)

    fun start() {
        duty.start()
    }

    /** Looks for work now. */
    fun runSoon() {
        duty.runSoon()
    }

    override fun close() {
        duty.close()
    }

    private fun step() {
        val active = state.active ?: return
        val endpoints = state.directory.endpoints
        loading.keys.filter { it !in endpoints }.forEach(::ended)
        loading.keys.toList().forEach { check(endpoints.getValue(it)) }
        if (othersGiveOrders()) return
        state.weights.forEach { weights ->
            val services = active.configuration.services.values
            val service = services.find { weights.model in it.engine?.models.orEmpty() }
            if (service != null) rollOut(weights, state.directory.serving(service.name))
        }
    }

    private fun rollOut(weights: NamedWeights, serving: List<RegisteredEndpoint>) {
        val outdated = rollout.outdated(weights, serving)
        val waiting = outdated.filter { it.id !in loading && !state.loads.of(it.id).changesWeights }
        val free = rollout.concurrency(serving.size, outdated.size, timeLeft(weights, outdated)) - loading.size
        waiting.take(free.coerceAtLeast(0)).forEach { order(it, weights) }
    }

    // Time until the oldest weights in use may not serve any more.
    private fun timeLeft(weights: NamedWeights, outdated: List<RegisteredEndpoint>): Duration {
        val history = state.weightsOf(weights.model)
        val ages = outdated.mapNotNull { replica ->
            state.loads.of(replica.id).version(weights.model)?.let(history::supersededFor)
        }
        return state.settings.bounds.weightsDeadline - DEADLINE_MARGIN - (ages.maxOrNull() ?: Duration.ZERO)
    }

    private fun order(replica: RegisteredEndpoint, weights: NamedWeights) {
        val report = replicas.report(replica.address, CALL_TIMEOUT).getOrNull()
        val version = report?.versions?.get(weights.model)
        if (version != null) state.loads.of(replica.id).sawVersion(weights.model, version)
        if (report == null || report.carriesOutOrder || (version ?: 0) >= weights.version) return
        val fence = lease.confirmed() ?: return
        val count = maxOf(report.ordersAccepted, orderedCounts[replica.id] ?: 0)
        val order = WeightOrder(replica.id, weights, state.settings.instance, fence, count)
        val outcome = replicas.order(replica.address, order, CALL_TIMEOUT)
        log.write(
            "weights_ordered",
            "endpoint" to replica.id,
            "model" to weights.model,
            "version" to weights.version,
            "had" to version,
            "term" to fence,
            "orders" to count,
            "outcome" to outcome.fold({ it.message }, { it.name }),
        )
        when (outcome.getOrNull()) {
            OrderOutcome.ACCEPTED -> {
                orderedCounts[replica.id] = count + 1
                started(replica, weights)
                relocateStreams(replica)
            }
            OrderOutcome.ALREADY_DONE -> state.loads.of(replica.id).sawVersion(weights.model, weights.version)
            // The order may be carried out all the same.
            null -> started(replica, weights)
            else -> orderedCounts.remove(replica.id)
        }
    }

    private fun started(replica: RegisteredEndpoint, weights: NamedWeights) {
        loading[replica.id] = Loading(weights, state.timeSource.markNow())
        state.loads.of(replica.id).ordered = true
        state.loads.of(replica.id).startedWeightChange(CHANGE_AT_MOST)
        onOrdered()
    }

    // The replica loads the weights once its running requests have ended.
    private fun relocateStreams(replica: RegisteredEndpoint) {
        val streams = state.streams.relocateFrom(replica.id)
        if (streams > 0) log.write("streams_relocated", "endpoint" to replica.id, "streams" to streams)
    }

    private fun check(replica: RegisteredEndpoint) {
        val at = loading.getValue(replica.id)
        val report = replicas.report(replica.address, CALL_TIMEOUT).getOrNull()
        val version = report?.versions?.get(at.weights.model) ?: 0
        val late = at.since.elapsedNow() > CHANGE_AT_MOST
        val idle = report != null && !report.carriesOutOrder && at.since.elapsedNow() > REPORT_LAG
        if (version >= at.weights.version || late || idle) {
            val after = at.since.elapsedNow()
            log.write("weights_order_ended", "endpoint" to replica.id, "version" to version, "after" to after)
            if (version > 0) state.loads.of(replica.id).sawVersion(at.weights.model, version)
            if (version >= at.weights.version) rollout.changedAfter(after)
            ended(replica.id)
        }
    }

    private fun ended(endpoint: String) {
        loading.remove(endpoint)
        state.loads.of(endpoint).ordered = false
        state.loads.of(endpoint).endedWeightChange()
        onOrdered()
    }

    private companion object {
        val PERIOD = 100.milliseconds
        val CALL_TIMEOUT = 400.milliseconds

        // Runs that are at the replica end first, then the weights are loaded.
        val CHANGE_AT_MOST = 4.seconds

        // A request that is sent shortly before the deadline may wait in a replica's queue before it begins.
        val DEADLINE_MARGIN = 2500.milliseconds

        // Reports show the state of a few hundred milliseconds ago.
        val REPORT_LAG = 500.milliseconds
    }
}
