package org.celerywalk.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.celerywalk.agent.toDaemon
import org.celerywalk.configuration.Fault
import org.celerywalk.entry.toDaemon
import org.celerywalk.settings.SettingsFile

/** Runs an entry until SIGTERM. */
internal class EntryCommand : Command(
    "entry",
    "Runs an entry in the foreground.",
    "celerywalk entry --settings entry.yaml",
) {
    private val settings by option(help = "Settings file").path().required()

    override fun run() {
        val daemon = SettingsFile.loadEntry(settings).fold({ throw invalidInput(it) }, { it }).toDaemon()
        runUntilStopped(daemon::start, daemon::stop)
    }
}

/** Runs an agent until SIGTERM. */
internal class AgentCommand : Command(
    "agent",
    "Runs an agent in the foreground.",
    "celerywalk agent --settings agent.yaml",
) {
    private val settings by option(help = "Settings file").path().required()

    override fun run() {
        val daemon = SettingsFile.loadAgent(settings).fold({ throw invalidInput(it) }, { it.toDaemon() })
        runUntilStopped(daemon::start, daemon::stop)
    }
}

/** Runs a daemon in the foreground. A shutdown hook calls [stop], for example after SIGTERM. */
private fun runUntilStopped(start: () -> Unit, stop: () -> Unit) {
    start()
    Runtime.getRuntime().addShutdownHook(Thread(stop, "stop"))
    Thread.currentThread().join()
}

/** Returns the error that ends the command after invalid settings or an invalid document. */
internal fun invalidInput(faults: List<Fault>) = failure(ExitCode.INVALID, faults.joinToString("\n"))
