package org.celerywalk.gateway.weights

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.platform.wire.OrderOutcome
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.platform.wire.ReplicaReport
import org.celerywalk.platform.wire.WeightOrder
import org.celerywalk.weights.TargetWeights
import org.celerywalk.weights.WeightRollout
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rolls out the newest weights to the model replicas, a few at a time, while this process may send orders. */
internal class WeightRolloutController(
    private val state: FleetState,
    private val lease: OrderLeaseManager,
    private val replicas: ReplicaCalls,
    private val log: EventLog,
    private val isPeerInCharge: () -> Boolean,
    private val onOrdersChanged: () -> Unit,
) : AutoCloseable {
    private class PendingOrder(val weights: TargetWeights, val sentAt: ComparableTimeMark)

    private val rollout = WeightRollout(state.loads)
    private val weightChangeTracker = WeightChangeTracker(state, log)
    private val pendingOrders = HashMap<String, PendingOrder>()
    private val orderCounts = HashMap<String, Long>()
    private val skippedSince = HashMap<String, ComparableTimeMark>()

    @Volatile
    private var isOrderingStopped = false
    private val task = PeriodicTask("weights", RUN_DELAY, log, ::runOnce)

    fun start() {
        task.start()
    }

    /** Checks for outdated replicas without waiting for the next run. */
    fun runSoon() {
        task.runSoon()
    }

    /** Stops sending orders. Pending orders are still tracked until they end, so that their replicas get work again. */
    fun stopOrdering() {
        isOrderingStopped = true
    }

    override fun close() {
        task.close()
    }

    private fun runOnce() {
        val activeConfiguration = state.activeConfiguration ?: return
        val endpoints = state.directory.endpoints
        pendingOrders.keys.filter { it !in endpoints }.forEach(::endOrder)
        pendingOrders.keys.toList().forEach { checkOrder(endpoints.getValue(it)) }
        if (isOrderingStopped || isPeerInCharge()) return
        state.newestWeights.forEach { weights ->
            val services = activeConfiguration.configuration.services.values
            val service = services.find { weights.model in it.engine?.models.orEmpty() }
            if (service != null) rollOut(weights, state.directory.servingEndpoints(service.name))
        }
    }

    private fun rollOut(weights: TargetWeights, serving: List<RegisteredEndpoint>) {
        val outdatedReplicas = rollout.outdatedReplicas(weights, serving)
        val oldestAge =
            rollout.longestSupersededTime(weights.model, outdatedReplicas, state.weightHistoryOf(weights.model))
        val timeLeft = state.settings.bounds.weightsDeadline - DEADLINE_MARGIN - oldestAge
        val freeSlots = rollout.maxConcurrentChanges(serving.size, outdatedReplicas.size, timeLeft) - pendingOrders.size
        skippedSince.values.removeIf { it.elapsedNow() > SKIP_DURATION }
        val candidates = outdatedReplicas.filter {
            it.id !in pendingOrders && it.id !in skippedSince && !state.loads.getOrCreate(it.id).isChangingWeights
        }
        orderAll(candidates.take(freeSlots.coerceAtLeast(0)), weights)
    }

    // Marks all replicas of the batch before the first order, so that no stream is relocated from one to another.
    private fun orderAll(batch: List<RegisteredEndpoint>, weights: TargetWeights) {
        if (batch.isEmpty() || lease.confirmedFencingToken() == null) return
        batch.forEach { weightChangeTracker.recordOrderStart(it.id, MAX_CHANGE_DURATION) }
        batch.forEach { if (!sendOrder(it, weights)) weightChangeTracker.recordOrderEnd(it.id) }
        onOrdersChanged()
        weightChangeTracker.handleAcceptedOrders(
            batch.map { it.id }.filter { it in pendingOrders },
            MAX_CHANGE_DURATION,
        )
    }

    /** Sends an order if [replica] needs one; returns true if the replica may be changing its weights now. */
    private fun sendOrder(replica: RegisteredEndpoint, weights: TargetWeights): Boolean {
        val report = replicas.report(replica.address, CALL_TIMEOUT).getOrNull()
        val version = report?.versions?.get(weights.model)
        if (version != null) state.loads.getOrCreate(replica.id).recordWeightsVersion(weights.model, version)
        if (report == null) skippedSince[replica.id] = state.timeSource.markNow()
        val fencingToken = if (report?.needs(weights) == true) lease.confirmedFencingToken() else null
        if (report == null || fencingToken == null) return false
        val orderCount = maxOf(report.acceptedOrderCount, orderCounts[replica.id] ?: 0)
        val order = WeightOrder(replica.id, weights, state.settings.instance, fencingToken, orderCount)
        val outcome = replicas.order(replica.address, order, CALL_TIMEOUT)
        log.write(
            "weights_ordered",
            "endpoint" to replica.id,
            "model" to weights.model,
            "version" to weights.version,
            "had" to version,
            "term" to fencingToken,
            "orders" to orderCount,
            "outcome" to outcome.fold({ it.message }, { it.name }),
        )
        when (outcome.getOrNull()) {
            OrderOutcome.ACCEPTED -> {
                orderCounts[replica.id] = orderCount + 1
                pendingOrders[replica.id] = PendingOrder(weights, state.timeSource.markNow())
            }
            OrderOutcome.ALREADY_DONE ->
                state.loads.getOrCreate(replica.id).recordWeightsVersion(weights.model, weights.version)
            // The call failed, but the replica may have received the order and may carry it out.
            null -> pendingOrders[replica.id] = PendingOrder(weights, state.timeSource.markNow())
            OrderOutcome.REFUSED -> skippedSince[replica.id] = state.timeSource.markNow()
            OrderOutcome.CONFLICT -> orderCounts.remove(replica.id)
        }
        return replica.id in pendingOrders
    }

    private fun checkOrder(replica: RegisteredEndpoint) {
        val order = pendingOrders.getValue(replica.id)
        val report = replicas.report(replica.address, CALL_TIMEOUT).getOrNull()
        val version = report?.versions?.get(order.weights.model) ?: 0
        val isOverdue = order.sentAt.elapsedNow() > MAX_CHANGE_DURATION
        val isIdle = report != null && !report.isOrderInProgress && order.sentAt.elapsedNow() > REPORT_LAG
        if (version >= order.weights.version || isOverdue || isIdle) {
            val elapsed = order.sentAt.elapsedNow()
            log.write("weights_order_ended", "endpoint" to replica.id, "version" to version, "after" to elapsed)
            if (version > 0) state.loads.getOrCreate(replica.id).recordWeightsVersion(order.weights.model, version)
            if (version >= order.weights.version) rollout.recordChangeTime(elapsed)
            endOrder(replica.id)
        }
    }

    private fun endOrder(replica: String) {
        pendingOrders.remove(replica)
        weightChangeTracker.recordOrderEnd(replica)
        onOrdersChanged()
    }

    private companion object {
        val RUN_DELAY = 100.milliseconds
        val CALL_TIMEOUT = 400.milliseconds

        // A call to a replica that is down takes the whole call timeout, and the successor of a replaced replica soon
        // registers itself.
        val SKIP_DURATION = 1.seconds

        // The replica finishes its running generations before it loads the weights.
        val MAX_CHANGE_DURATION = 4.seconds

        // A request that is sent shortly before the deadline may wait in the replica's queue before it starts.
        val DEADLINE_MARGIN = 2500.milliseconds

        // A report may show the state that the replica had a few hundred milliseconds earlier.
        val REPORT_LAG = 500.milliseconds
    }
}

private fun ReplicaReport.needs(weights: TargetWeights): Boolean =
    !isOrderInProgress && (versions[weights.model] ?: 0) < weights.version
