package org.celerywalk.gateway

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Runs [task] repeatedly on a dedicated thread, with the current [delay] between the end of a run and the next.
 *
 * No error ends the runs: the next one needs no memory and no log line. Only [close] does.
 */
internal class PeriodicTask(
    name: String,
    private val delay: () -> Duration,
    private val log: EventLog,
    private val task: () -> Unit,
) : AutoCloseable {
    constructor(name: String, delay: Duration, log: EventLog, task: () -> Unit) : this(name, { delay }, log, task)

    private val thread = Thread(::runUntilClosed, name).apply { isDaemon = true }
    private val isRunDue = AtomicBoolean()

    @Volatile
    private var isOpen = true
    private var initialDelay = Duration.ZERO

    /** Starts the runs, the first after [initialDelay]. May be called once. */
    fun start(initialDelay: Duration = Duration.ZERO) {
        this.initialDelay = initialDelay
        thread.start()
    }

    /** Starts the next run as soon as the current one has ended. */
    fun runSoon() {
        isRunDue.set(true)
        LockSupport.unpark(thread)
    }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private fun runUntilClosed() {
        awaitNextRun(initialDelay)
        while (isOpen) {
            runOnce()
            awaitNextRun(delay())
        }
    }

    private fun awaitNextRun(maxWait: Duration) {
        val beganAt = TimeSource.Monotonic.markNow()
        while (isOpen && !isRunDue.get() && beganAt.elapsedNow() < maxWait) {
            LockSupport.parkNanos(this, (maxWait - beganAt.elapsedNow()).inWholeNanoseconds)
        }
        isRunDue.set(false)
    }

    // Any error that is thrown here would end the thread, so that even one that can't be logged is not passed on.
    @Suppress("TooGenericExceptionCaught")
    private fun runOnce() {
        try {
            task()
        } catch (e: Throwable) {
            if (isOpen) logFailure(e)
        }
    }

    @Suppress("TooGenericExceptionCaught", "SwallowedException")
    private fun logFailure(failure: Throwable) {
        try {
            log.write("duty_failed", "duty" to thread.name, "cause" to failure.toString())
        } catch (_: Throwable) {
            // There may be no memory for the line; the count needs none and is told later.
            log.recordDropped()
        }
    }
}
