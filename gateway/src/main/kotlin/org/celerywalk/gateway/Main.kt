package org.celerywalk.gateway

import org.celerywalk.gateway.callers.CallersSocket
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val SETTINGS_VARIABLE = "CELERYWALK_CONFIG"
private const val CALLERS_OPTION = "--callers"
private const val USAGE = "usage: gateway [$CALLERS_OPTION HOST:PORT] [SETTINGS-FILE]; the file may also be named by " +
    "$SETTINGS_VARIABLE; HOST:PORT is opened before the file is read and must be its listen.callers"
private const val INVALID_SETTINGS_EXIT_CODE = 2

/** Runs a gateway until SIGTERM, with the settings file named by the last argument or by the environment. */
public fun main(arguments: Array<String>) {
    val callersAddress = arguments.indexOf(CALLERS_OPTION).takeIf { it >= 0 }
        ?.let { index -> arguments.getOrNull(index + 1)?.let(SocketAddress::parse) ?: exitWithErrors(listOf(USAGE)) }
    val callersSocket = callersAddress?.let(CallersSocket::open)
    val path = arguments.drop(if (callersAddress == null) 0 else 2).singleOrNull() ?: System.getenv(SETTINGS_VARIABLE)
    if (path == null) exitWithErrors(listOf(USAGE))
    val settings = GatewaySettingsFile.load(Path.of(path)).fold(::exitWithErrors) { it }
    if (callersAddress != null && callersAddress != settings.callers) {
        exitWithErrors(
            listOf("listen.callers: '${settings.callers}'; expected $callersAddress, which $CALLERS_OPTION has opened"),
        )
    }
    val daemon = GatewayDaemon(settings, callersSocket)
    val stopSignal = CountDownLatch(1)
    Signal.handle(Signal("TERM")) { stopSignal.countDown() }
    // Settings are read only at the start. The handler keeps SIGHUP from ending the process.
    Signal.handle(Signal("HUP")) { }
    daemon.start()
    stopSignal.await()
    daemon.stop()
    Runtime.getRuntime().halt(0)
}

private fun exitWithErrors(errors: List<String>): Nothing {
    errors.forEach { System.err.println("settings: $it") }
    exitProcess(INVALID_SETTINGS_EXIT_CODE)
}
