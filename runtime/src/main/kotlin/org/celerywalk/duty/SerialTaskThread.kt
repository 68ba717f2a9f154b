package org.celerywalk.duty

import org.jctools.queues.MpscBlockingConsumerArrayQueue
import org.tinylog.kotlin.Logger
import java.util.concurrent.TimeUnit

/**
 * Runs tasks one at a time and in order on a dedicated thread, from a bounded queue.
 *
 * ```
 * val tasks = SerialTaskThread("bookings", capacity = 1024)
 * if (!tasks.offer { claim(booking) }) refuse(booking)
 * ```
 *
 * @param name name of the thread, which also appears in logs.
 * @param capacity maximum number of queued tasks.
 */
public class SerialTaskThread(name: String, capacity: Int) : AutoCloseable {
    private val queue = MpscBlockingConsumerArrayQueue<Runnable>(capacity)

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, name).apply {
        isDaemon = true
        start()
    }

    /** Queues [task]; returns false if the queue is full or the thread is closed. May be called on any thread. */
    public fun offer(task: Runnable): Boolean = isOpen && queue.offer(task)

    /** Stops after the running task, which is interrupted; queued tasks are discarded. */
    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private fun run() {
        while (isOpen) {
            val task = pollTask() ?: continue
            // A failing task must not end the thread.
            runCatching(task::run).onFailure { Logger.error(it, "event=duty_task_failed duty={}", thread.name) }
        }
    }

    private fun pollTask(): Runnable? = try {
        queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS)
    } catch (_: InterruptedException) {
        null
    }

    private companion object {
        const val POLL_MILLIS = 200L
    }
}
