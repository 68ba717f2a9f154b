package org.celerywalk.agent

import org.celerywalk.configuration.Configuration
import org.celerywalk.endpoint.OrderResult
import org.celerywalk.endpoint.WeightOrders
import org.celerywalk.engine.EngineOrder
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** Orders the engines to load the weights that the configuration names, one replica after the other. */
internal class WeightReconciler(
    private val endpoint: String,
    private val replicas: Map<String, Replica>,
    private val orders: WeightOrders,
    private val configuration: () -> Configuration?,
) {
    private val isReconciling = AtomicBoolean()

    /** Compares the engines with the configuration; has no effect while an earlier call is in progress. */
    fun reconcile() {
        val targets = configuration()?.let(::findTargets).orEmpty()
        if (targets.isEmpty() || !isReconciling.compareAndSet(false, true)) return
        val completedFuture = CompletableFuture.completedFuture(Unit)
        targets.fold(completedFuture) { previousFuture, target -> previousFuture.thenCompose { reconcile(target) } }
            .whenComplete { _, _ -> isReconciling.set(false) }
    }

    private fun findTargets(configuration: Configuration): List<ReplicaTarget> {
        val weightsByModel = configuration.platform.models.associate { it.name to it.weights }
        val endpointEntry = configuration.platform.endpoints.find { it.name == endpoint }
        return endpointEntry?.replicas.orEmpty().mapNotNull { replica ->
            val weights = weightsByModel[replica.model]
            replicas[replica.name]?.takeIf { weights != null }
                ?.let { ReplicaTarget(it, replica.model, weights.orEmpty()) }
        }
    }

    private fun reconcile(target: ReplicaTarget): CompletableFuture<Unit> {
        val status = target.replica.status
        return when {
            status == null || status.loadingWeights != null -> CompletableFuture.completedFuture(Unit)
            status.weights == target.weights && status.model == target.model ->
                orders.releaseSlot(target.replica.name, target.weights)
            else -> orders.order(target.replica.name, target.weights) { sendOrder(target, it) }.thenApply { result ->
                if (result == OrderResult.SUPERSEDED) {
                    Logger.warn("event=orders_superseded endpoint={} replica={}", endpoint, target.replica.name)
                }
            }
        }
    }

    private fun sendOrder(target: ReplicaTarget, fencingNumber: Long) {
        val name = target.replica.name
        Logger.info("event=weights_ordered replica={} weights={} fencing={}", name, target.weights, fencingNumber)
        target.replica.engine.order(EngineOrder(target.model, target.weights, fencingNumber)).thenAccept { answer ->
            answer.onLeft { Logger.warn("event=order_failed replica={} reason=\"{}\"", name, it.message) }
        }
    }

    private class ReplicaTarget(val replica: Replica, val model: String, val weights: String)
}
