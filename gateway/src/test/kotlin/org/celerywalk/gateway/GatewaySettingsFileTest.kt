package org.celerywalk.gateway

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a truncated or incomplete settings file being accepted, or ending the process with an exception. */
class GatewaySettingsFileTest {
    @Test
    fun `all errors of a file are reported with their keys`() {
        val errors = GatewaySettingsFile.parse("instance: a\nlisten: { callers: nowhere }\npeer-port: x")
            .fold({ it }, { emptyList() })
        listOf("data-centre", "listen.callers", "peer-port", "bounds.key-withdrawal-ms").forEach { key ->
            assertTrue(errors.any { it.startsWith("$key:") }, "$key is not among $errors")
        }
    }

    @Test
    fun `a truncated, empty or missing file is an error and causes no exception`() {
        assertTrue(GatewaySettingsFile.parse("instance: \"a").isLeft())
        assertTrue(GatewaySettingsFile.parse("").isLeft())
        assertTrue(GatewaySettingsFile.load(Path.of("no-such-file")).isLeft())
    }

    @Test
    fun `the deployment template contains every required key`() {
        val template = Files.readString(Path.of("../deploy/gateway.yaml"))
        val filled = template.replace(Regex("""\{\{(listen\.|provider\.)[^}]*}}"""), "10.0.0.1:80")
            .replace(Regex("""\{\{[^}]*}}"""), "7")
        assertEquals(emptyList(), GatewaySettingsFile.parse(filled).fold({ it }, { emptyList() }))
    }
}
