package org.celerywalk.entry

/**
 * Tracks the lifecycle of the process from start to stop.
 *
 * During a stop the process first only reports that it is not ready, so that the load balancer can send callers to
 * other instances.
 */
internal class Lifecycle {
    @Volatile
    private var stage = Stage.STARTING

    /** Whether the load balancer may send callers to this instance. */
    val isServing: Boolean get() = stage == Stage.SERVING

    /** Whether new requests are served. */
    val isAcceptingRequests: Boolean get() = stage == Stage.SERVING || stage == Stage.LEAVING

    fun startServing() {
        stage = Stage.SERVING
    }

    /** Reports not ready from now on; new requests are still served. */
    fun startDraining() {
        stage = Stage.LEAVING
    }

    fun startRefusing() {
        stage = Stage.REFUSING
    }

    private enum class Stage { STARTING, SERVING, LEAVING, REFUSING }
}
