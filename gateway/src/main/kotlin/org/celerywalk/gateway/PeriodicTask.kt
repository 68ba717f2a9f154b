package org.celerywalk.gateway

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Runs [task] repeatedly on a dedicated thread, with [delay] between the end of a run and the next. */
internal class PeriodicTask(
    private val name: String,
    private val delay: Duration,
    private val log: EventLog,
    private val task: () -> Unit,
) : AutoCloseable {
    private val executor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { run ->
        Thread(run, name).apply { isDaemon = true }
    }

    /** Schedules the task, first after [initialDelay]. */
    fun start(initialDelay: Duration = Duration.ZERO) {
        val initialNanos = initialDelay.inWholeNanoseconds
        executor.scheduleWithFixedDelay(::runOnce, initialNanos, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Schedules an additional run, which starts once the current run has ended. */
    fun runSoon() {
        if (!executor.isShutdown) executor.execute(::runOnce)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun runOnce() {
        // An exception would cancel all further runs of the scheduled task.
        runCatching(task).onFailure {
            if (!executor.isShutdown) log.write("duty_failed", "duty" to name, "cause" to it.toString())
        }
    }
}
