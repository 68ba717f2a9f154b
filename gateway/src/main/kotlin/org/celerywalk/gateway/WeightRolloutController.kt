package org.celerywalk.gateway

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.OrderOutcome
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.platform.wire.ReplicaReport
import org.celerywalk.platform.wire.WeightOrder
import org.celerywalk.weights.NamedWeights
import org.celerywalk.weights.WeightRollout
import kotlin.time.ComparableTimeMark
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
    private val weightChanges = WeightChanges(state, log)
    private val loading = HashMap<String, Loading>()
    private val orderedCounts = HashMap<String, Long>()
    private val unreachable = HashMap<String, ComparableTimeMark>()

    @Volatile
    private var handingOver = false
    private val duty = PeriodicDuty("weights", PERIOD, log, ::step)

    fun start() {
        duty.start()
    }

    /** Looks for work now. */
    fun runSoon() {
        duty.runSoon()
    }

    /** Gives no more orders; those in progress are watched to their end, so that their replicas get work again. */
    fun handOver() {
        handingOver = true
    }

    override fun close() {
        duty.close()
    }

    private fun step() {
        val active = state.active ?: return
        val endpoints = state.directory.endpoints
        loading.keys.filter { it !in endpoints }.forEach(::ended)
        loading.keys.toList().forEach { check(endpoints.getValue(it)) }
        if (handingOver || othersGiveOrders()) return
        state.weights.forEach { weights ->
            val services = active.configuration.services.values
            val service = services.find { weights.model in it.engine?.models.orEmpty() }
            if (service != null) rollOut(weights, state.directory.serving(service.name))
        }
    }

    private fun rollOut(weights: NamedWeights, serving: List<RegisteredEndpoint>) {
        val outdated = rollout.outdated(weights, serving)
        val oldest = rollout.longestSuperseded(weights.model, outdated, state.weightsOf(weights.model))
        val timeLeft = state.settings.bounds.weightsDeadline - DEADLINE_MARGIN - oldest
        val free = rollout.concurrency(serving.size, outdated.size, timeLeft) - loading.size
        unreachable.values.removeIf { it.elapsedNow() > UNREACHABLE_PAUSE }
        val waiting = outdated.filter {
            it.id !in loading && it.id !in unreachable && !state.loads.of(it.id).changesWeights
        }
        orderAll(waiting.take(free.coerceAtLeast(0)), weights)
    }

    // Marks all of them before the first order, so that the streams of one don't move to the next.
    private fun orderAll(batch: List<RegisteredEndpoint>, weights: NamedWeights) {
        if (batch.isEmpty() || lease.confirmed() == null) return
        batch.forEach { weightChanges.ordering(it.id, CHANGE_AT_MOST) }
        batch.forEach { if (!order(it, weights)) weightChanges.ended(it.id) }
        onOrdered()
        weightChanges.begun(batch.map { it.id }.filter { it in loading }, CHANGE_AT_MOST)
    }

    /** Returns true if the replica may be changing its weights now. */
    private fun order(replica: RegisteredEndpoint, weights: NamedWeights): Boolean {
        val report = replicas.report(replica.address, CALL_TIMEOUT).getOrNull()
        val version = report?.versions?.get(weights.model)
        if (version != null) state.loads.of(replica.id).sawVersion(weights.model, version)
        if (report == null) unreachable[replica.id] = state.timeSource.markNow()
        val fence = if (report?.needs(weights) == true) lease.confirmed() else null
        if (report == null || fence == null) return false
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
                loading[replica.id] = Loading(weights, state.timeSource.markNow())
            }
            OrderOutcome.ALREADY_DONE -> state.loads.of(replica.id).sawVersion(weights.model, weights.version)
            // The order may be carried out all the same.
            null -> loading[replica.id] = Loading(weights, state.timeSource.markNow())
            OrderOutcome.REFUSED -> unreachable[replica.id] = state.timeSource.markNow()
            OrderOutcome.CONFLICT -> orderedCounts.remove(replica.id)
        }
        return replica.id in loading
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

    private fun ended(replica: String) {
        loading.remove(replica)
        weightChanges.ended(replica)
        onOrdered()
    }

    private companion object {
        val PERIOD = 100.milliseconds
        val CALL_TIMEOUT = 400.milliseconds

        // Asking a replica that is down takes the whole time of a call; one that was replaced is soon registered anew.
        val UNREACHABLE_PAUSE = 1.seconds

        // Runs that are at the replica end first, then the weights are loaded.
        val CHANGE_AT_MOST = 4.seconds

        // A request that is sent shortly before the deadline may wait in a replica's queue before it begins.
        val DEADLINE_MARGIN = 2500.milliseconds

        // Reports show the state of a few hundred milliseconds ago.
        val REPORT_LAG = 500.milliseconds
    }
}

private fun ReplicaReport.needs(weights: NamedWeights): Boolean =
    !carriesOutOrder && (versions[weights.model] ?: 0) < weights.version
