package org.celerywalk.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against requests that crash one endpoint after the other because of a part of their prompt. */
class PromptPartQuarantineTest {
    private val clock = TestTimeSource()
    private val quarantine = PromptPartQuarantine(clock)

    @Test
    fun `a part under which two endpoints crashed is quarantined until its backoff has passed`() {
        quarantine.recordCrash("e-1", listOf("shared", "deadly"))
        assertEquals(QuarantineDecision.Admitted, decide("shared", "deadly"))
        quarantine.recordAnswer("sound-endpoint", listOf("shared"))
        assertEquals(listOf("deadly"), quarantine.recordCrash("e-2", listOf("shared", "deadly")))
        assertEquals(QuarantineDecision.Refused("deadly", 5.seconds), decide("shared", "deadly"))
        assertEquals(QuarantineDecision.Admitted, decide("shared", "other"))
        clock += 5.seconds
        assertEquals(QuarantineDecision.Trial("deadly"), decide("shared", "deadly"))
        assertIs<QuarantineDecision.Refused>(decide("shared", "deadly"))
    }

    @Test
    fun `the backoff grows with each crash, so that few requests are tried after the fifth`() {
        val trials = mutableListOf<Duration>()
        val start = clock.markNow()
        var crashes = 0
        repeat(3_600) {
            if (decide("deadly") !is QuarantineDecision.Refused) {
                trials += start.elapsedNow()
                quarantine.recordCrash("e-${crashes++}", listOf("deadly"))
            }
            clock += 1.seconds
        }
        assertEquals(listOf(0, 1, 6, 26, 106, 426), trials.take(6).map { it.inWholeSeconds.toInt() })
        assertTrue(trials.zipWithNext().drop(5).all { (a, b) -> b - a >= 10.minutes }, "$trials")
    }

    @Test
    fun `an endpoint that several requests and instances report counts once`() {
        val peer = PromptPartQuarantine(clock)
        repeat(3) { quarantine.recordCrash("e-1", listOf("sound-$it", "first")) }
        peer.recordCrash("e-1", listOf("first"))
        quarantine.merge(peer.evidence())
        assertEquals(QuarantineDecision.Admitted, decide("first"))
    }

    @Test
    fun `crashes that different instances saw add up, also for an instance that has just started`() {
        val peer = PromptPartQuarantine(clock)
        quarantine.recordCrash("e-1", listOf("deadly"))
        peer.recordCrash("e-2", listOf("deadly"))
        assertEquals(listOf("deadly"), peer.merge(quarantine.evidence()))
        val started = PromptPartQuarantine(clock)
        started.merge(peer.evidence())
        assertIs<QuarantineDecision.Refused>(started.check(listOf("deadly")) { true })
    }

    @Test
    fun `an answer that a peer saw clears a part, and older reports of crashes don't accuse it again`() {
        val peer = PromptPartQuarantine(clock)
        val accuser = PromptPartQuarantine(clock)
        listOf("e-1", "e-2").forEach { accuser.recordCrash(it, listOf("sound")) }
        val accusation = accuser.evidence()
        listOf(quarantine, peer).forEach { it.merge(accusation) }
        clock += 1.seconds
        assertEquals(listOf("sound"), peer.recordAnswer("sound-endpoint", listOf("sound")))
        quarantine.merge(peer.evidence())
        assertEquals(QuarantineDecision.Admitted, decide("sound"))
        quarantine.merge(accusation)
        assertEquals(QuarantineDecision.Admitted, decide("sound"))
        quarantine.recordCrash("e-3", listOf("sound"))
        assertEquals(QuarantineDecision.Admitted, decide("sound"))
    }

    @Test
    fun `only the instance that owns the trial of a part tries it`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("deadly")) }
        clock += 9.seconds
        assertEquals(QuarantineDecision.Refused("deadly", Duration.ZERO), quarantine.check(listOf("deadly")) { false })
        assertEquals(QuarantineDecision.Trial("deadly"), decide("deadly"))
    }

    // Guards against a sound part that stays in quarantine because its requests come to other instances only.
    @Test
    fun `any instance tries a part whose owner has not tried it for a second backoff`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("part")) }
        clock += 10.seconds
        assertEquals(QuarantineDecision.Trial("part"), quarantine.check(listOf("part")) { false })
        assertIs<QuarantineDecision.Refused>(quarantine.check(listOf("part")) { false })
    }

    @Test
    fun `a trial that a peer began is not begun again`() {
        val peer = PromptPartQuarantine(clock)
        listOf("e-1", "e-2").forEach { peer.recordCrash(it, listOf("deadly")) }
        clock += 5.seconds
        assertIs<QuarantineDecision.Trial>(peer.check(listOf("deadly")) { true })
        quarantine.merge(peer.evidence())
        assertEquals(QuarantineDecision.Refused("deadly", 5.seconds), decide("deadly"))
    }

    @Test
    fun `an answer on trial ends the quarantine, as after a fix of the endpoints`() {
        listOf("e-1", "e-2", "e-3").forEach { quarantine.recordCrash(it, listOf("deadly")) }
        clock += 20.seconds
        assertIs<QuarantineDecision.Trial>(decide("deadly"))
        assertEquals(listOf("deadly"), quarantine.recordAnswer("sound-endpoint", listOf("deadly")))
        repeat(2) { assertEquals(QuarantineDecision.Admitted, decide("deadly")) }
        assertEquals(emptySet(), quarantine.quarantinedParts.keys)
    }

    @Test
    fun `a part that another one may explain is tried at once, in a request without the other one`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("first", "deadly")) }
        assertIs<QuarantineDecision.Refused>(quarantine.check(listOf("first", "deadly")) { false })
        assertEquals(QuarantineDecision.Trial("first"), quarantine.check(listOf("first", "sound")) { false })
        assertIs<QuarantineDecision.Refused>(quarantine.check(listOf("first", "sound")) { false })
        quarantine.recordAnswer("sound-endpoint", listOf("first", "sound"))
        assertEquals(QuarantineDecision.Admitted, quarantine.check(listOf("first", "sound")) { false })
        assertIs<QuarantineDecision.Refused>(quarantine.check(listOf("first", "deadly")) { false })
    }

    @Test
    fun `a trial that no endpoint received is followed by another one`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("deadly")) }
        clock += 5.seconds
        assertIs<QuarantineDecision.Trial>(decide("deadly"))
        quarantine.withdrawTrial(listOf("deadly"))
        assertIs<QuarantineDecision.Trial>(decide("deadly"))
    }

    @Test
    fun `the evidence is bounded however many parts requests name, and keeps the most suspect ones`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("deadly")) }
        repeat(2_000) { quarantine.recordCrash("f-$it", listOf("a-$it", "b-$it")) }
        val evidence = quarantine.evidence()
        assertTrue(evidence.size <= 48, "${evidence.size} parts")
        assertTrue("deadly" in evidence)
        assertIs<QuarantineDecision.Refused>(decide("deadly"))
    }

    private fun decide(vararg parts: String) = quarantine.check(parts.toList()) { true }
}
