package org.celerywalk.cli

import com.github.ajalt.clikt.testing.test
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class FleetCheckTest {
    private val file = Files.createTempFile("fleet", ".json").also { it.toFile().deleteOnExit() }

    @Test
    fun `the exit code tells no findings, warnings and errors apart`() {
        // Guards against a script that sends a faulty configuration because the check exits with 0.
        val cases = mapOf(
            VALID to (0 to "no findings"),
            VALID.replace("5000", "500") to (1 to "warning: route r: latency target"),
            VALID.replace("\"backend\":\"s\"", "\"backend\":\"x\"") to (2 to "error: route r: unknown service 'x'"),
            VALID.replace("idempotent", "other") to (2 to "error: document: route 'r' has the unknown type 'other'"),
            "[]" to (2 to "not a JSON object"),
        )
        cases.forEach { (text, expected) ->
            file.writeText(text)
            val result = celerywalk().test("fleet check $file")
            assertEquals(expected.first, result.statusCode, result.output)
            assertContains(result.output, expected.second)
        }
    }

    @Test
    fun `differences are listed and do not change the exit code`() {
        file.writeText(VALID)
        val current = Files.createTempFile("current", ".json").also { it.toFile().deleteOnExit() }
        current.writeText(VALID.replace("5000", "6000"))
        val result = celerywalk().test("fleet check $file --in-force $current --json")
        assertEquals("""{"findings":[],"difference":["~ route r"]}""", result.stdout.trim())
        assertEquals(0, result.statusCode)
    }

    private companion object {
        const val VALID = """{"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","hostname":"h","prefix":"/",
            "type":"idempotent","backend":"s","timeout_ms":5000,"target_latency_ms":900,"max_attempts":2}]}"""
    }
}
