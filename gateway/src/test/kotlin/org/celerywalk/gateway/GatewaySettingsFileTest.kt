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
        assertEquals(null, parseTemplate(template.replace(SECTION, "")).bounds.rollouts)
        val filled = template.replace(SECTION) { it.groupValues[2].replace("{{.}}", "0.2") }
        assertEquals(0.2, parseTemplate(filled).bounds.rollouts?.canaryShare)
    }

    @Test
    fun `a canary share of all requests is an error`() {
        val text = Files.readString(Path.of("../deploy/gateway.yaml")).replace(SECTION, "") + "\n  canary-share: 1\n"
        val errors = GatewaySettingsFile.parse(fill(text)).fold({ it }, { emptyList() })
        assertTrue(errors.single().startsWith("bounds.canary-share:"), "$errors")
    }

    private fun parseTemplate(template: String): GatewaySettings =
        GatewaySettingsFile.parse(fill(template)).fold({ error(it.joinToString()) }, { it })

    private fun fill(template: String): String =
        template.replace(Regex("""\{\{(listen\.|provider\.)[^}]*}}"""), "10.0.0.1:80")
            .replace(Regex("""\{\{[^}]*}}"""), "7")

    private companion object {
        val SECTION = Regex("""\{\{#([^}]*)}}(.*?)\{\{/\1}}""")
    }
}
