package org.celerywalk.acceptance

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.fail

/** Root of the repository: the nearest parent folder of the working directory that holds `bin/celerywalk`. */
internal val repositoryRoot: Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
    .first { Files.exists(it.resolve("bin/celerywalk")) }

/** Runs an entry or agent through `bin/celerywalk` as a separate process, with the class path that users get. */
internal class Daemon(private val directory: Path, private val name: String, private val role: String) {
    private val log: Path = directory.resolve("$name.log")
    private val settings: Path = directory.resolve("$name.yaml")
    private var process: Process? = null

    val isAlive: Boolean get() = process?.isAlive == true

    /** Starts the process without waiting until it listens; see [awaitStarted]. */
    fun start(yaml: String) {
        Files.writeString(settings, yaml)
        Files.deleteIfExists(log)
        process = startCommand(log.toFile(), role, "--settings", "$settings")
    }

    /** Waits until the process has logged that it listens. */
    fun awaitStarted() = waitUntil("$name is started") {
        if (!isAlive) fail("$name exited: ${logText()}")
        STARTED_EVENT.containsMatchIn(logText())
    }

    /** Returns the value of the first `name=value` field in the log. */
    fun loggedField(name: String): String {
        val value = Regex("$name=(\\S+)").find(logText())?.groupValues?.get(1)
        return value ?: fail("no field $name in the log: ${logText()}")
    }

    /** Kills the process with SIGKILL, as a crash ends it, and waits for its exit. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks the process with SIGTERM to shut down gracefully. */
    fun terminate() {
        process?.destroy()
    }

    fun logText(): String = if (Files.exists(log)) Files.readString(log) else ""

    companion object {
        private val STARTED_EVENT = Regex("event=\\w*started")

        /** Starts `celerywalk` with [arguments]; its output goes to [log]. */
        fun startCommand(log: File, vararg arguments: String): Process =
            ProcessBuilder(listOf("${repositoryRoot.resolve("bin/celerywalk")}") + arguments)
                .redirectErrorStream(true)
                .redirectOutput(log)
                .start()

        /** Runs `celerywalk` with [arguments] and returns its output; fails the test unless it exits with 0. */
        fun runCommand(directory: Path, vararg arguments: String): String {
            val log = Files.createTempFile(directory, "command", ".log")
            val process = startCommand(log.toFile(), *arguments)
            if (!process.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly()
            val output = Files.readString(log)
            val status = process.waitFor()
            if (status != 0) fail("${arguments.joinToString(" ")} exited with $status: $output")
            return output
        }

        private const val COMMAND_TIMEOUT_SECONDS = 60L
    }
}
