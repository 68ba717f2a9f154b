package org.celerywalk.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.celerywalk.standins.engine.EngineSettings
import org.celerywalk.standins.engine.EngineStandIn
import org.celerywalk.standins.service.PlainServiceStandIn
import org.celerywalk.standins.table.TableStandIn
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import kotlin.time.Duration.Companion.milliseconds

/** Runs the stand-in that the subcommand names until the process is killed; see docs/stand-ins.md. */
public fun main(arguments: Array<String>) {
    NoOpCliktCommand(name = "standin")
        .subcommands(
            EngineCommand(),
            TableCommand(),
            ObjectStoreCommand(),
            InstanceListCommand(),
            WeightStoreCommand(),
            ServiceCommand(),
        )
        .main(arguments)
}

private abstract class StandInCommand(name: String) : CliktCommand(name) {
    private val port by option(help = "port to listen on; 0 picks a free port").int().default(0)
    private val portFile by option(help = "file to write the chosen port to").path()

    protected abstract fun start(port: Int): StandIn

    override fun run() {
        val standIn = start(port)
        portFile?.let { file ->
            // The atomic rename ensures that a reader sees either no file or the complete port number.
            val partialFile = file.resolveSibling("${file.fileName}.part")
            Files.writeString(partialFile, "${standIn.port}\n")
            Files.move(partialFile, file, StandardCopyOption.ATOMIC_MOVE)
        }
        echo("listening on ${standIn.port}")
        Thread.currentThread().join()
    }
}

private class EngineCommand : StandInCommand("engine") {
    private val settings by option(help = "engine settings as a JSON object").default("{}")
    private val weightStore by option(help = "base URL of the weight store")

    override fun start(port: Int) = EngineStandIn(port, mergeJsonFields(EngineSettings(), settings), weightStore)
}

private class TableCommand : StandInCommand("table") {
    private val writesPerSecond by option(help = "maximum transactions per second").int()
        .default(DEFAULT_WRITES_PER_SECOND)
    private val readsPerSecond by option(help = "maximum reads and scans per second").int()
        .default(DEFAULT_READS_PER_SECOND)

    override fun start(port: Int) = TableStandIn(port, writesPerSecond, readsPerSecond)
}

private class ObjectStoreCommand : StandInCommand("object-store") {
    override fun start(port: Int) = ObjectStoreStandIn(port)
}

private class InstanceListCommand : StandInCommand("instance-list") {
    private val lagMillis by option(help = "delay until a change appears in the list, in milliseconds").long()
        .default(DEFAULT_LAG_MILLIS)

    override fun start(port: Int) = InstanceListStandIn(port, lagMillis.milliseconds)
}

private class WeightStoreCommand : StandInCommand("weight-store") {
    private val loadMillis by option(help = "duration of one weight load, in milliseconds").long()
        .default(DEFAULT_LOAD_MILLIS)

    override fun start(port: Int) = WeightStoreStandIn(port, loadMillis.milliseconds)
}

private class ServiceCommand : StandInCommand("service") {
    private val serviceName by option("--name", help = "prefix of the confirmation numbers").default("service")

    override fun start(port: Int) = PlainServiceStandIn(port, serviceName)
}

private const val DEFAULT_WRITES_PER_SECOND = 400
private const val DEFAULT_READS_PER_SECOND = 2000
private const val DEFAULT_LAG_MILLIS = 500L
private const val DEFAULT_LOAD_MILLIS = 600L
