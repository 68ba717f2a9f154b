package org.celerywalk.gateway

import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val SETTINGS_VARIABLE = "CELERYWALK_CONFIG"
private const val CALLERS_OPTION = "--callers"
private const val USAGE = "usage: gateway [$CALLERS_OPTION HOST:PORT] [SETTINGS-FILE]; the file may also be named by " +
    "$SETTINGS_VARIABLE; HOST:PORT is opened before the file is read and must be its listen.callers"
private const val INVALID_SETTINGS = 2

/** Runs a gateway with the settings file that the last argument or the environment names, until SIGTERM. */
public fun main(arguments: Array<String>) {
    val early = arguments.indexOf(CALLERS_OPTION).takeIf { it >= 0 }
        ?.let { at -> arguments.getOrNull(at + 1)?.let(SocketAddress::parse) ?: invalid(listOf(USAGE)) }
    val socket = early?.let(CallersSocket::open)
    val path = arguments.drop(if (early == null) 0 else 2).singleOrNull() ?: System.getenv(SETTINGS_VARIABLE)
    if (path == null) invalid(listOf(USAGE))
    val settings = GatewaySettingsFile.load(Path.of(path)).fold(::invalid) { it }
    if (early != null && early != settings.callers) {
        invalid(listOf("listen.callers: '${settings.callers}'; expected $early, which $CALLERS_OPTION has opened"))
    }
    val daemon = GatewayDaemon(settings, socket)
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
