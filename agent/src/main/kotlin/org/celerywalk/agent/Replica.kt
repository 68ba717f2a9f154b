package org.celerywalk.agent

import org.celerywalk.endpoint.ReportedEngine
import org.celerywalk.engine.Engine
import org.celerywalk.engine.EngineStatus
import org.celerywalk.protocol.ReplicaSummary
import java.util.concurrent.CompletableFuture

/** State of one model replica: its engine's last status, its load and its resident cache pieces. */
internal class Replica(val name: String, val engine: Engine, maxQueued: Int) {
    /** Last status of the engine, null before the first answer and after a failed status call. */
    @Volatile
    var status: EngineStatus? = null
        private set

    val load = ReplicaLoad(maxQueued) { status?.capacity ?: 1 }
    val cache = ReplicaCache(engine)
    private val crashCheck = CrashCheck(engine)

    /** Model and weights as the last status reported them, null if [status] is null. */
    val reportedEngine: ReportedEngine?
        get() = status?.let { ReportedEngine(it.model, it.weights, it.loadingWeights != null) }

    /** Records the result of a status call, null if it failed, and starts queued attempts if there is capacity. */
    fun updateStatus(latestStatus: EngineStatus?) {
        status = latestStatus
        latestStatus?.let { cache.updateIncarnation(it.incarnation) }
        load.startQueued()
    }

    /** Returns whether the engine has crashed since it had the status [before]; if so, forgets its status. */
    fun checkCrash(before: EngineStatus?): CompletableFuture<Boolean> =
        if (before == null) {
            CompletableFuture.completedFuture(false)
        } else {
            crashCheck.hasCrashed(before).thenApply { hasCrashed ->
                if (hasCrashed && status?.incarnation == before.incarnation) updateStatus(null)
                hasCrashed
            }
        }

    fun summary(isAccepting: Boolean): ReplicaSummary {
        val currentStatus = status
        return ReplicaSummary.newBuilder()
            .setReplica(name)
            .setModel(currentStatus?.model.orEmpty())
            .setWeights(currentStatus?.takeIf { it.loadingWeights == null }?.weights.orEmpty())
            .setEngineIncarnation(currentStatus?.incarnation.orEmpty())
            .setAccepting(isAccepting && currentStatus != null && currentStatus.loadingWeights == null)
            .setQueuedTokens(load.queuedTokens(currentStatus?.queuedTokens ?: 0))
            .setRunning(load.runningGenerations(currentStatus?.running ?: 0))
            .setCapacity(currentStatus?.capacity ?: 0)
            .build()
    }
}
