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
 * Writes one JSON line for each decision, from a thread of its own.
 *
 * Callers never wait: when the ring is full or a second's limit is reached, lines are dropped, counted and reported in
 * a `log_dropped` line: with the next second, when the log has nothing else to write, or at the end.
 *
 * @param closeWithin time that [close] waits for the lines in the ring.
 */
public class EventLog(
    private val instance: String,
    private val out: PrintStream = System.out,
    private val wallMillis: () -> Long = System::currentTimeMillis,
    private val ringLines: Int = RING_LINES,
    private val closeWithin: Duration = CLOSE_WITHIN,
) : AutoCloseable {
    private class Line(val millis: Long, val event: String, val fields: Array<out Pair<String, Any?>>)

    private val ring = MpscBlockingConsumerArrayQueue<Line>(ringLines)
    private val dropped = AtomicLong()
    private val json = JsonFactory()

    @Volatile
    private var open = true
    private val thread = Thread(::run, "log").apply {
        isDaemon = true
        start()
    }

    /** Number of lines that were dropped since the start. */
    public val droppedLines: Long get() = dropped.get()

    /** Writes [event] with [fields]; fields that are null are left out. Values must not hold keys or prompts. */
    public fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!ring.offer(Line(wallMillis(), event, fields))) dropped.incrementAndGet()
    }

    /** Writes what is in the ring and stops. */
    override fun close() {
        open = false
        thread.join(closeWithin.inWholeMilliseconds)
    }

    private fun run() {
        var second = 0L
        var lines = 0
        var told = 0L
        while (open || !ring.isEmpty) {
            val line = ring.poll(POLL_MILLIS, TimeUnit.MILLISECONDS)
            val millis = line?.millis ?: wallMillis()
            if (line == null || millis / MILLIS_PER_SECOND != second) told = reportDropped(millis, told)
            if (line == null) continue
            if (millis / MILLIS_PER_SECOND != second) {
                second = millis / MILLIS_PER_SECOND
                lines = 0
            }
            lines++
            if (lines <= LINES_PER_SECOND) out.println(format(line)) else dropped.incrementAndGet()
            if (ring.isEmpty) out.flush()
        }
        reportDropped(wallMillis(), told)
        out.flush()
    }

    private fun reportDropped(millis: Long, told: Long): Long {
        val total = dropped.get()
        if (total > told) {
            out.println(format(Line(millis, "log_dropped", arrayOf("lines" to total - told))))
            out.flush()
        }
        return total
    }

    private fun format(line: Line): String {
        val text = StringWriter(LINE_CHARS)
        json.createGenerator(text).use { generator ->
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
        return text.toString()
    }

    private companion object {
        const val RING_LINES = 4_096

        // A gateway writes about four lines for a request, and takes at most a few hundred requests a second.
        const val LINES_PER_SECOND = 2_000
        const val POLL_MILLIS = 200L
        val CLOSE_WITHIN = 500.milliseconds
        const val MILLIS_PER_SECOND = 1_000L
        const val LINE_CHARS = 256
    }
}
