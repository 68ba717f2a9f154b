package org.celerywalk.agent

import org.celerywalk.endpoint.ReportedEngine
import org.celerywalk.engine.Engine
import org.celerywalk.engine.EngineStatus
import org.celerywalk.protocol.ReplicaSummary

/** Holds what the agent knows about one model replica. */
internal class Replica(val name: String, val engine: Engine, maxQueued: Int) {
    /** The engine's last status, null until the first answer and after a failed one. */
    @Volatile
    var status: EngineStatus? = null
        private set

    val load = ReplicaLoad(maxQueued) { status?.capacity ?: 1 }
    val cache = ReplicaCache(engine)

    val actual: ReportedEngine?
        get() = status?.let { ReportedEngine(it.model, it.weights, it.loadingWeights != null) }

    fun statusRead(read: EngineStatus?) {
        status = read
        read?.let { cache.follow(it.incarnation) }
        load.pump()
    }

    fun summary(accepting: Boolean): ReplicaSummary {
        val known = status
        return ReplicaSummary.newBuilder()
            .setReplica(name)
            .setModel(known?.model.orEmpty())
            .setWeights(known?.takeIf { it.loadingWeights == null }?.weights.orEmpty())
            .setEngineIncarnation(known?.incarnation.orEmpty())
            .setAccepting(accepting && known != null && known.loadingWeights == null)
            .setQueuedTokens(load.queuedTokens(known?.queuedTokens ?: 0))
            .setRunning(load.running(known?.running ?: 0))
            .setCapacity(known?.capacity ?: 0)
            .build()
    }
}
