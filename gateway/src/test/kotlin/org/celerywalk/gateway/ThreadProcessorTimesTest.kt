package org.celerywalk.gateway

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a metric whose number of labels grows with the number of peers, and against a scrape that fails. */
class ThreadProcessorTimesTest {
    @TempDir
    lateinit var tasks: Path

    @Test
    fun `threads of one duty are summed up whatever address they have`() {
        addThread("1", "cache-10.2.0.3:", runNanos = 2_000_000)
        addThread("2", "cache-10.2.0.41", runNanos = 3_000_000)
        addThread("3", "C1 CompilerThre", runNanos = 7_000_000)
        addThread("4", "peers-receive", runNanos = 11_000_000)
        val expected = mapOf("cache" to 5, "c compilerthre" to 7, "peers-receive" to 11)
        assertEquals(expected.mapValues { it.value.milliseconds }, ThreadProcessorTimes(tasks).timeByGroup())
    }

    @Test
    fun `a thread that has ended or a system without the directory is left out`() {
        Files.createDirectory(tasks.resolve("5"))
        assertEquals(emptyMap(), ThreadProcessorTimes(tasks).timeByGroup())
        assertEquals(emptyMap(), ThreadProcessorTimes(tasks.resolve("none")).timeByGroup())
    }

    private fun addThread(id: String, name: String, runNanos: Long) {
        val directory = Files.createDirectory(tasks.resolve(id))
        Files.writeString(directory.resolve("comm"), "$name\n")
        Files.writeString(directory.resolve("schedstat"), "$runNanos 12 3\n")
    }
}
