package org.celerywalk.bench.load

import java.nio.file.Files
import java.nio.file.Path

/** Reads the CPU time and the memory of another process from the Linux process file system. */
internal class ProcessUsage(val name: String, private val pid: Long) {
    private val startTicks = cpuTicks()

    /** CPU time since this object was created, in seconds. */
    val cpuSeconds: Double get() = (cpuTicks() - startTicks) / TICKS_PER_SECOND

    /** Current resident memory in MB. */
    val residentMegabytes: Double
        get() {
            val residentMemoryLine = Files.readAllLines(Path.of("/proc/$pid/status")).first { it.startsWith("VmRSS:") }
            return residentMemoryLine.filter(Char::isDigit).toDouble() / KILOBYTES_PER_MEGABYTE
        }

    private fun cpuTicks(): Long {
        // The command name in parentheses may contain spaces, so fields are counted after it.
        val fields = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(" ")
        return fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()
    }

    private companion object {
        const val USER_TICKS_FIELD = 11
        const val SYSTEM_TICKS_FIELD = 12
        const val TICKS_PER_SECOND = 100.0
        const val KILOBYTES_PER_MEGABYTE = 1024.0
    }
}
