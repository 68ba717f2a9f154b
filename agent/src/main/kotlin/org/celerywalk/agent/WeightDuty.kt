package org.celerywalk.agent

import org.celerywalk.configuration.Configuration
import org.celerywalk.endpoint.OrderResult
import org.celerywalk.endpoint.WeightOrders
import org.celerywalk.engine.EngineOrder
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** Brings the engines to the weights that the configuration wishes, one replica after the other. */
internal class WeightDuty(
    private val endpoint: String,
    private val replicas: Map<String, Replica>,
    private val orders: WeightOrders,
    private val configuration: () -> Configuration?,
) {
    private val busy = AtomicBoolean()

    /** Compares the engines with the configuration; does nothing while an earlier call is under way. */
    fun reconcile() {
        val wishes = configuration()?.let(::wishes).orEmpty()
        if (wishes.isEmpty() || !busy.compareAndSet(false, true)) return
        val nothing = CompletableFuture.completedFuture(Unit)
        wishes.fold(nothing) { before, wish -> before.thenCompose { reconcile(wish) } }
            .whenComplete { _, _ -> busy.set(false) }
    }

    private fun wishes(configuration: Configuration): List<Wish> {
        val weights = configuration.platform.models.associate { it.name to it.weights }
        val entry = configuration.platform.endpoints.find { it.name == endpoint }
        return entry?.replicas.orEmpty().mapNotNull { replica ->
            val wanted = weights[replica.model]
            replicas[replica.name]?.takeIf { wanted != null }?.let { Wish(it, replica.model, wanted.orEmpty()) }
        }
    }

    private fun reconcile(wish: Wish): CompletableFuture<Unit> {
        val status = wish.replica.status
        return when {
            status == null || status.loadingWeights != null -> CompletableFuture.completedFuture(Unit)
            status.weights == wish.weights && status.model == wish.model ->
                orders.releaseSlot(wish.replica.name, wish.weights)
            else -> orders.order(wish.replica.name, wish.weights) { send(wish, it) }.thenApply { result ->
                if (result == OrderResult.SUPERSEDED) {
                    Logger.warn("event=orders_superseded endpoint={} replica={}", endpoint, wish.replica.name)
                }
            }
        }
    }

    private fun send(wish: Wish, fencingNumber: Long) {
        val name = wish.replica.name
        Logger.info("event=weights_ordered replica={} weights={} fencing={}", name, wish.weights, fencingNumber)
        wish.replica.engine.order(EngineOrder(wish.model, wish.weights, fencingNumber)).thenAccept { answer ->
            answer.onLeft { Logger.warn("event=order_failed replica={} reason=\"{}\"", name, it.message) }
        }
    }

    private class Wish(val replica: Replica, val model: String, val weights: String)
}
