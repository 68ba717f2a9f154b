package org.celerywalk.gateway

import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val SETTINGS_VARIABLE = "CELERYWALK_CONFIG"
private const val INVALID_SETTINGS = 2

/** Runs a gateway with the settings file that the first argument or the environment names, until SIGTERM. */
public fun main(arguments: Array<String>) {
    val path = arguments.firstOrNull() ?: System.getenv(SETTINGS_VARIABLE)
    if (path == null) invalid(listOf("usage: gateway SETTINGS-FILE, or set $SETTINGS_VARIABLE"))
    val settings = GatewaySettingsFile.load(Path.of(path)).fold(::invalid) { it }
    val daemon = GatewayDaemon(settings)
    val stop = CountDownLatch(1)
    Signal.handle(Signal("TERM")) { stop.countDown() }
    // Settings are read at the start only; the signal must not end the process.
    Signal.handle(Signal("HUP")) { }
    daemon.start()
    stop.await()
    daemon.stop()
    Runtime.getRuntime().halt(0)
}

private fun invalid(faults: List<String>): Nothing {
    faults.forEach { System.err.println("settings: $it") }
    exitProcess(INVALID_SETTINGS)
}
