package org.celerywalk.gateway

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Runs [task] repeatedly on a dedicated thread, with the current [delay] between the end of a run and the next. */
internal class PeriodicTask(
    private val name: String,
    private val delay: () -> Duration,
    private val log: EventLog,
    private val task: () -> Unit,
) : AutoCloseable {
    constructor(name: String, delay: Duration, log: EventLog, task: () -> Unit) : this(name, { delay }, log, task)

    private val executor: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { run ->
        Thread(run, name).apply { isDaemon = true }
    }

    /** Schedules the task, first after [initialDelay]. */
    fun start(initialDelay: Duration = Duration.ZERO) {
        executor.schedule(::runAndReschedule, initialDelay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Schedules an additional run, which starts once the current run has ended. */
    fun runSoon() {
        if (!executor.isShutdown) executor.execute(::runOnce)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun runAndReschedule() {
        runOnce()
        if (!executor.isShutdown) start(delay())
    }

    private fun runOnce() {
        // An exception would end all further runs of the task.
        runCatching(task).onFailure {
            if (!executor.isShutdown) log.write("duty_failed", "duty" to name, "cause" to it.toString())
        }
    }
}
