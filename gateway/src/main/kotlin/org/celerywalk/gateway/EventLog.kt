package org.celerywalk.gateway

import com.fasterxml.jackson.core.JsonFactory
import org.jctools.queues.MpscBlockingConsumerArrayQueue
import java.io.PrintStream
import java.io.StringWriter
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes each event as one line of JSON, from a dedicated thread.
 *
 * [write] never blocks. A line is dropped if the queue is full or the limit of lines per second is reached. The number
 * of dropped lines is written as a `log_dropped` event when the next second begins, when no line has arrived for a poll
 * interval, and on [close].
 *
 * @param closeTimeout time that [close] waits for the queued lines to be written.
 */
public class EventLog(
    private val instance: String,
    private val output: PrintStream = System.out,
    private val clockMillis: () -> Long = System::currentTimeMillis,
    private val queueCapacity: Int = QUEUE_CAPACITY,
    private val closeTimeout: Duration = CLOSE_TIMEOUT,
) : AutoCloseable {
    private class Line(val millis: Long, val event: String, val fields: Array<out Pair<String, Any?>>)

    private val queue = MpscBlockingConsumerArrayQueue<Line>(queueCapacity)
    private val droppedCount = AtomicLong()
    private val jsonFactory = JsonFactory()

    @Volatile
    private var isOpen = true
    private val writerThread = Thread(::writeLoop, "log").apply {
        isDaemon = true
        start()
    }

    /** Number of lines dropped since the process started. */
    public val droppedLines: Long get() = droppedCount.get()

    /** Queues [event] with [fields], without those that are null. Values must not contain API keys or prompts. */
    public fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!queue.offer(Line(clockMillis(), event, fields))) droppedCount.incrementAndGet()
    }

    /** Counts a line as dropped whose event could not be described. */
    public fun recordDropped() {
        droppedCount.incrementAndGet()
    }

    /** Writes the queued lines and stops the thread; returns after [closeTimeout] at the latest. */
    override fun close() {
        isOpen = false
        writerThread.join(closeTimeout.inWholeMilliseconds)
    }

    private fun writeLoop() {
        var currentSecond = 0L
        var linesThisSecond = 0
        var reportedDrops = 0L
        while (isOpen || !queue.isEmpty) {
            val line = queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            val millis = line?.millis ?: clockMillis()
            if (line == null || millis / MILLIS_PER_SECOND != currentSecond) {
                reportedDrops = reportDropped(millis, reportedDrops)
            }
            if (line == null) continue
            if (millis / MILLIS_PER_SECOND != currentSecond) {
                currentSecond = millis / MILLIS_PER_SECOND
                linesThisSecond = 0
            }
            linesThisSecond++
            if (linesThisSecond <= MAX_LINES_PER_SECOND) {
                output.println(format(line))
            } else {
                droppedCount.incrementAndGet()
            }
            if (queue.isEmpty) output.flush()
        }
        reportDropped(clockMillis(), reportedDrops)
        output.flush()
    }

    private fun reportDropped(millis: Long, reportedDrops: Long): Long {
        val droppedTotal = droppedCount.get()
        if (droppedTotal > reportedDrops) {
            output.println(format(Line(millis, "log_dropped", arrayOf("lines" to droppedTotal - reportedDrops))))
            output.flush()
        }
        return droppedTotal
    }

    private fun format(line: Line): String {
        val lineText = StringWriter(INITIAL_LINE_CHARS)
        jsonFactory.createGenerator(lineText).use { generator ->
            generator.writeStartObject()
            generator.writeNumberField("t", line.millis)
            generator.writeStringField("event", line.event)
            generator.writeStringField("instance", instance)
            line.fields.forEach { (name, value) ->
                when (value) {
                    null -> Unit
                    is Int -> generator.writeNumberField(name, value)
                    is Long -> generator.writeNumberField(name, value)
                    is Boolean -> generator.writeBooleanField(name, value)
                    else -> generator.writeStringField(name, value.toString())
                }
            }
            generator.writeEndObject()
        }
        return lineText.toString()
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096

        // A gateway writes about four lines per request and serves at most a few hundred requests per second.
        const val MAX_LINES_PER_SECOND = 2_000
        const val POLL_TIMEOUT_MILLIS = 200L
        val CLOSE_TIMEOUT = 500.milliseconds
        const val MILLIS_PER_SECOND = 1_000L
        const val INITIAL_LINE_CHARS = 256
    }
}
