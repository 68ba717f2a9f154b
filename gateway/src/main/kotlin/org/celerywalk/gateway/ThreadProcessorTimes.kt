package org.celerywalk.gateway

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reads the processor time of this process's threads from Linux's [taskDirectory].
 *
 * The JVM's own management interface would load classes that slow down the start of a gateway.
 */
internal class ThreadProcessorTimes(private val taskDirectory: Path = Path.of("/proc/self/task")) {
    /**
     * Returns the processor time of all running threads by group: a thread's name without digits and without the
     * address that follows them, so that the number of groups does not depend on the number of peers.
     */
    fun timeByGroup(): Map<String, Duration> = try {
        Files.newDirectoryStream(taskDirectory).use { threads ->
            threads.mapNotNull(::read).groupBy({ it.first }, { it.second })
                .mapValues { (_, times) -> times.fold(Duration.ZERO, Duration::plus) }
        }
    } catch (_: IOException) {
        // Other systems than Linux have no such directory; the metric is then missing.
        emptyMap()
    }

    // Returns null if the thread has ended meanwhile.
    private fun read(thread: Path): Pair<String, Duration>? = try {
        val name = Files.readString(thread.resolve("comm")).trim()
        val runNanos = Files.readString(thread.resolve("schedstat")).substringBefore(' ').trim().toLong()
        group(name) to runNanos.nanoseconds
    } catch (_: IOException) {
        null
    }

    private fun group(name: String) = name.replace(ADDRESS, "").filter { it.isLetter() || it in SEPARATORS }
        .trim { it in SEPARATORS }.lowercase()

    private companion object {
        val ADDRESS = Regex("""\d+[.:].*""")
        const val SEPARATORS = " -"
    }
}
