package org.celerywalk.gateway.store

import okhttp3.OkHttpClient
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.quarantine.QuarantineDecision
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertIs

/** Guards against a harmful prompt part that is forgotten when all gateways restart at once. */
class QuarantineSyncTest {
    private val store = StoreStandIn()
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
    private val syncs = mutableListOf<QuarantineSync>()

    @AfterEach
    fun close() {
        syncs.forEach { it.close() }
        store.close()
    }

    @Test
    fun `a gateway that starts keeps the parts in quarantine that gateways before it have stored`() {
        val before = start()
        quarantineIn(before, "dead")
        awaitUntil { store.keys("quarantine") == setOf("dead") }
        val after = start()
        awaitUntil { after.check(listOf("dead")) { false } is QuarantineDecision.Refused }
        assertIs<QuarantineDecision.Admitted>(after.check(listOf("other")) { false })
    }

    @Test
    fun `a part that is cleared is removed from the store`() {
        val quarantine = start()
        quarantineIn(quarantine, "dead")
        awaitUntil { store.keys("quarantine") == setOf("dead") }
        quarantine.recordAnswer("sound-endpoint", listOf("dead"))
        awaitUntil { store.keys("quarantine").isEmpty() }
    }

    @Test
    fun `an unreadable row is left out and the others hold`() {
        store.put("quarantine", "odd", "no time")
        store.put("quarantine", "dead", "i-1 0\ni-2 0")
        val quarantine = start()
        awaitUntil { quarantine.check(listOf("dead")) { false } is QuarantineDecision.Refused }
        assertIs<QuarantineDecision.Admitted>(quarantine.check(listOf("odd")) { false })
    }

    private fun quarantineIn(quarantine: PromptPartQuarantine, part: String) =
        listOf("i-1", "i-2").forEach { quarantine.recordCrash(it, listOf(part)) }

    private fun start(): PromptPartQuarantine {
        val state = FleetState(testSettings(), SuspendAwareTimeSource(), { 1 }, { 1.0 })
        val table = PlatformTable(PlatformCalls(OkHttpClient()), store.address)
        syncs += QuarantineSync(state, table, log) { emptySet() }.apply { start() }
        return state.quarantine
    }
}
