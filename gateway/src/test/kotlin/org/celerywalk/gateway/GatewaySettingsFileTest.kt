package org.celerywalk.gateway

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a settings file that is torn or incomplete. */
class GatewaySettingsFileTest {
    @Test
    fun `all faults of a file are reported with their keys`() {
        val faults = GatewaySettingsFile.parse("instance: a\nlisten: { callers: nowhere }\npeer-port: x")
            .fold({ it }, { emptyList() })
        listOf("data-centre", "listen.callers", "peer-port", "bounds.key-withdrawal-ms").forEach { key ->
            assertTrue(faults.any { it.startsWith("$key:") }, "$key is not among $faults")
        }
    }

    @Test
    fun `a torn or missing file is a fault, not a crash`() {
        assertTrue(GatewaySettingsFile.parse("instance: \"a").isLeft())
        assertTrue(GatewaySettingsFile.parse("").isLeft())
        assertTrue(GatewaySettingsFile.load(Path.of("no-such-file")).isLeft())
    }

    @Test
    fun `the platform's template names every key`() {
        val template = Files.readString(Path.of("../deploy/gateway.yaml"))
        val filled = template.replace(Regex("""\{\{(listen\.|provider\.)[^}]*}}"""), "10.0.0.1:80")
            .replace(Regex("""\{\{[^}]*}}"""), "7")
        assertEquals(emptyList(), GatewaySettingsFile.parse(filled).fold({ it }, { emptyList() }))
    }
}
