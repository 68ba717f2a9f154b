package org.celerywalk.agent

import org.celerywalk.engine.Engine
import org.celerywalk.engine.EngineStatus
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Finds out whether an engine that lost a generation has crashed. */
internal class CrashCheck(private val engine: Engine) {
    private var lastIncarnation = ""
    private var lastResult = CompletableFuture.completedFuture(false)

    /**
     * Returns true if the engine process with the status [before] has ended: the engine refuses connections, or it has
     * started again with the same weights. A cut connection and a silent engine don't count.
     *
     * The future completes within [TIME_LIMIT] and never exceptionally. All streams that end with the engine share one
     * check.
     */
    @Synchronized
    fun hasCrashed(before: EngineStatus): CompletableFuture<Boolean> {
        if (before.incarnation != lastIncarnation || lastResult.isDone) {
            lastIncarnation = before.incarnation
            lastResult = check(before, CHECKS)
                .completeOnTimeout(false, TIME_LIMIT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                .exceptionally { failure ->
                    Logger.error(failure, "event=crash_check_failed incarnation={}", before.incarnation)
                    false
                }
        }
        return lastResult
    }

    // The streams of a process may end shortly before its listening socket, and the first check may get a connection
    // that the process has closed.
    private fun check(before: EngineStatus, checksLeft: Int): CompletableFuture<Boolean> =
        engine.status().thenCompose { status ->
            val hasCrashed = status.fold({ it.isConnectionRefused }, { it.isRestartOf(before) })
            if (hasCrashed || checksLeft == 1) {
                CompletableFuture.completedFuture(hasCrashed)
            } else {
                CompletableFuture.supplyAsync({ checksLeft - 1 }, nextCheckExecutor).thenCompose { check(before, it) }
            }
        }

    // An engine gets a new incarnation with new weights too, without a crash.
    private fun EngineStatus.isRestartOf(before: EngineStatus) =
        incarnation != before.incarnation && weights == before.weights && before.loadingWeights == null

    private companion object {
        const val CHECKS = 3
        val CHECK_INTERVAL = 20.milliseconds
        val TIME_LIMIT = 500.milliseconds
        val nextCheckExecutor =
            CompletableFuture.delayedExecutor(CHECK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
