package org.celerywalk.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import org.celerywalk.configuration.Configuration
import org.celerywalk.table.FakeTable
import org.celerywalk.table.FakeTableFault
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Runs the commands against an entry in this process. */
class CommandTest {
    private val table = FakeTable()
    private val entry = TestEntry(table)
    private val directory: Path = Files.createTempDirectory("cli").also { it.toFile().deleteOnExit() }
    private val document = writeFile("document.yaml", DOCUMENT)
    private val pepper = writeFile("pepper", TestEntry.PEPPER)

    @AfterTest
    fun close() = entry.close()

    @Test
    fun `check lists all errors of a document and exits with 2`() {
        assertEquals(0, run("config check $document").statusCode)
        val invalidDocument =
            writeFile("faulty.yaml", DOCUMENT.replace("burst-tokens", "burst").replace("weights: w1", "weights: W"))
        val result = run("config check $invalidDocument")
        assertEquals(2, result.statusCode)
        assertContains(result.stderr, "commercial.client-accounts[0].burst: given an unknown key")
        assertEquals(1, run("config check").statusCode, "a missing argument")
    }

    @Test
    fun `the first change needs the bootstrap token and later changes the token of the team`() {
        assertEquals(4, runWithEntry("config apply $document --yes --based-on 0", "no-operator").statusCode)
        bootstrap()
        assertEquals(4, runWithEntry("config apply $document --yes --based-on 1", TestEntry.BOOTSTRAP_TOKEN).statusCode)
        val changed = writeFile("changed.yaml", DOCUMENT.replace("40000", "50000"))
        assertEquals(4, runWithEntry("config apply $changed --yes --based-on 1", SECURITY).statusCode)
        val plan = runWithEntry("config plan $changed", COMMERCIAL)
        assertContains(plan.stdout, "~ client-account kyushu")
        assertContains(plan.stdout, "based on version 1")
        assertEquals(0, runWithEntry("config apply $changed --yes --based-on 1", COMMERCIAL).statusCode)
        assertEquals(3, runWithEntry("config apply $document --yes --based-on 1", COMMERCIAL).statusCode)
        assertContains(runWithEntry("config history --output json", COMMERCIAL).stdout, "\"operator\":\"hana\"")
        assertContains(runWithEntry("config show", COMMERCIAL).stdout, "burst-tokens: 50000")
    }

    @Test
    fun `a change that is repeated with its id is not applied twice`() {
        val command = "config apply $document --yes --based-on 0 --change-id c1 --output json"
        assertContains(runWithEntry(command, TestEntry.BOOTSTRAP_TOKEN).stdout, "\"result\":\"applied\"")
        assertContains(runWithEntry(command, TestEntry.BOOTSTRAP_TOKEN).stdout, "\"result\":\"already_applied\"")
    }

    @Test
    fun `an issued key is printed once and only its hash is stored`() {
        bootstrap()
        val issued = runWithEntry("key issue kyushu --pepper-file $pepper", SECURITY)
        val key = issued.stdout.trim()
        assertEquals(0, issued.statusCode, issued.stderr)
        val shown = runWithEntry("config show", SECURITY).stdout
        assertFalse(key.substringAfterLast('_') in shown)
        assertContains(shown, TestEntry.HASHER.hashHex(key))
    }

    @Test
    fun `a key is withdrawn while the table is down and recorded once it is available`() {
        bootstrap()
        TestEntry(table, listOf(entry.address), "entry-2").use { secondEntry ->
            secondEntry.awaitConfiguration { it.version == 1L }
            table.fault = { FakeTableFault.DOWN }
            val result = runWithEntry("key withdraw k1 --entry ${secondEntry.address} --entry 127.0.0.1:1", SECURITY)
            assertEquals(6, result.statusCode, result.stderr)
            assertContains(result.stdout, "not confirmed by 127.0.0.1:1")
            assertContains(result.stdout, "not recorded")
            assertTrue("k1" in entry.sync.withdrawnKeys && "k1" in secondEntry.sync.withdrawnKeys)
            assertEquals(4, runWithEntry("key withdraw k1", COMMERCIAL).statusCode)
            table.fault = { FakeTableFault.NONE }
            secondEntry.awaitConfiguration { configuration -> configuration.security.keys.all { it.withdrawn } }
        }
    }

    @Test
    fun `an endpoint is drained and an unreachable entry exits with 5`() {
        bootstrap()
        assertEquals(0, runWithEntry("endpoint drain e1", PLATFORM).statusCode)
        entry.awaitConfiguration { it.version == 2L }
        assertContains(runWithEntry("endpoint list", PLATFORM).stdout, "e1 fukuoka-a 127.0.0.1:7001 draining")
        assertEquals(2, runWithEntry("endpoint drain e2", PLATFORM).statusCode)
        assertEquals(5, run("config show --entry 127.0.0.1:1 --token-file $pepper").statusCode)
    }

    private fun bootstrap() {
        val result = runWithEntry("config apply $document --yes --based-on 0", TestEntry.BOOTSTRAP_TOKEN)
        assertEquals(0, result.statusCode, result.stderr)
        entry.awaitConfiguration { it.version == 1L }
    }

    private fun TestEntry.awaitConfiguration(condition: (Configuration) -> Boolean) {
        val conditionMet = CompletableFuture<Unit>()
        val check = { latest: Configuration -> if (condition(latest)) conditionMet.complete(Unit) }
        sync.onChange { check(it) }
        sync.current()?.let { check(it) }
        conditionMet.get(20, TimeUnit.SECONDS)
    }

    private fun run(command: String): CliktCommandTestResult = celerywalk().test(command)

    private fun runWithEntry(command: String, token: String): CliktCommandTestResult =
        run("$command --entry ${entry.address} --token-file ${writeFile("token", token)}")

    private fun writeFile(name: String, content: String): Path = directory.resolve(name).apply { writeText(content) }

    private companion object {
        const val COMMERCIAL = "commercial-token"
        const val SECURITY = "security-token"
        const val PLATFORM = "platform-token"

        fun hash(token: String) = TestEntry.HASHER.hashHex(token)

        val DOCUMENT = """
            commercial:
              client-accounts: [{name: kyushu, rate-tokens-per-second: 9000, burst-tokens: 40000}]
            security:
              keys: [{id: k1, client-account: kyushu, hash: "${hash("cw_k1_secret-secret")}"}]
              operators:
                - {name: hana, team: commercial, token-hash: "${hash(COMMERCIAL)}"}
                - {name: ren, team: security, token-hash: "${hash(SECURITY)}"}
                - {name: aoi, team: platform, token-hash: "${hash(PLATFORM)}"}
            platform:
              data-centres: [{name: fukuoka-a, region: kyushu}]
              models: [{name: petals, weights: w1, piece-tokens: 4000}]
              endpoints: [{name: e1, data-centre: fukuoka-a, address: "127.0.0.1:7001"}]
        """.trimIndent()
    }
}
