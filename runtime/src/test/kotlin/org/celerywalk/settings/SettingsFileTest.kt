package org.celerywalk.settings

import org.celerywalk.configuration.Fault
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours

class SettingsFileTest {
    private val file: Path = Files.createTempFile("settings", ".yaml").also { it.toFile().deleteOnExit() }

    @Test
    fun `keys in kebab case and snake case are accepted and missing ones get defaults`() {
        file.writeText(
            VALID.replace("data-centre", "data_centre")
        )
        val settings = SettingsFile.loadEntry(file).fold({ error("$it") }, { it })
        assertEquals("fukuoka-a", settings.process.dataCentre)
        assertEquals(2.hours, settings.process.keyMaxAge)
    }

    @Test
    fun `all faults of a file are reported together with path, given value and accepted values`() {
        file.writeText(
            VALID.replace("grpc: 127.0.0.1:0", "grpc: nowhere") +
                "limits: {max-streams: many, max-stream: 7}\nbootstrap-token: 3\n"
        )
        val faults = faults()
        assertEquals(
            setOf("limits.max-streams", "limits.max-stream", "bootstrap-token"),
            faults.map { it.path }.toSet()
        )
        assertTrue(faults.any { it.given == "'many'" && it.accepted == "a whole number" }, "$faults")
    }

    @Test
    fun `out-of-range values are faults and secrets do not appear in them`() {
        file.writeText(
            VALID.replace("127.0.0.1:0", "nowhere").replace("s3cr3t-s3cr3t-x1", "s3")
        )
        val faults = faults()
        assertEquals(listOf("process.grpc", "process.http", "process.secret"), faults.map { it.path })
        assertTrue(faults.none { "s3" in it.given }, "$faults")
    }

    @Test
    fun `malformed, empty and missing files give faults instead of exceptions`() {
        file.writeText("process: [1, 2\n  x: {")
        assertEquals("well-formed YAML", faults().single().accepted)
        file.writeText("process: {}\nprocess: {}\n")
        assertTrue("Duplicate" in faults().single().given)
        file.writeText("")
        assertEquals(setOf("process", "platform"), faults().map { it.path }.toSet())
        assertEquals("(file)", SettingsFile.loadAgent(Path.of("absent.yaml")).leftOrNull()?.single()?.path)
    }

    private fun faults(): List<Fault> = SettingsFile.loadEntry(file).leftOrNull().orEmpty()

    private companion object {
        val VALID = """
            process:
              instance: entry-1
              region: kyushu
              data-centre: fukuoka-a
              grpc: 127.0.0.1:0
              http: 127.0.0.1:0
              secret: s3cr3t-s3cr3t-x1
              pepper: pepper-pepper-pepper
            platform: {table: "http://127.0.0.1:1", object-store: "http://127.0.0.1:1", instance-list: "http://127.0.0.1:1"}

        """.trimIndent()
    }
}
