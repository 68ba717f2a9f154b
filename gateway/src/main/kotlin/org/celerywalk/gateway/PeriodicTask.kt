package org.celerywalk.gateway

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Repeats the task of one duty on a thread of its own, with a pause after each run. */
internal class PeriodicDuty(
    private val name: String,
    private val pause: Duration,
    private val log: EventLog,
    private val task: () -> Unit,
) : AutoCloseable {
    private val thread: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { run ->
        Thread(run, name).apply { isDaemon = true }
    }

    /** Runs the task for the first time [after] some time, and then again and again. */
    fun start(after: Duration = Duration.ZERO) {
        val first = after.inWholeNanoseconds
        thread.scheduleWithFixedDelay(::runOnce, first, pause.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Runs the task once more as soon as the current run has ended. */
    fun runSoon() {
        if (!thread.isShutdown) thread.execute(::runOnce)
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun runOnce() {
        // A failing run must not end the duty.
        runCatching(task).onFailure {
            if (!thread.isShutdown) log.write("duty_failed", "duty" to name, "cause" to it.toString())
        }
    }
}
