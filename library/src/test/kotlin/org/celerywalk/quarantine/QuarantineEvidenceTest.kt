package org.celerywalk.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against evidence that is lost, never reaches the peers, or outlives what it shows. */
class QuarantineEvidenceTest {
    private val clock = TestTimeSource()
    private val quarantine = PromptPartQuarantine(clock)

    @Test
    fun `crashes that answers have cleared don't keep later ones from counting`() {
        repeat(16) {
            quarantine.recordCrash("e-$it", listOf("first"))
            clock += 10.seconds
            quarantine.recordAnswer(listOf("first"))
            clock += 10.seconds
        }
        quarantine.recordCrash("f-1", listOf("first"))
        quarantine.recordCrash("f-2", listOf("first"))
        assertIs<QuarantineDecision.Refused>(decide("first"))
    }

    @Test
    fun `a part that crashes endpoints for hours stays in quarantine`() {
        var crashes = 0
        val sent = mutableListOf<Duration>()
        val start = clock.markNow()
        repeat(12 * 3_600) {
            if (decide("deadly") !is QuarantineDecision.Refused) {
                sent += start.elapsedNow()
                quarantine.recordCrash("e-${crashes++}", listOf("deadly"))
            }
            clock += 1.seconds
        }
        assertTrue(sent.zipWithNext().drop(5).all { (a, b) -> b - a >= 10.minutes }, "$sent")
    }

    @Test
    fun `peers learn that a part is cleared, however many others are suspect`() {
        val peer = PromptPartQuarantine(clock)
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("first")) }
        peer.merge(quarantine.evidence())
        repeat(60) { quarantine.recordCrash("f-$it", listOf("once-$it")) }
        clock += 5.seconds
        assertIs<QuarantineDecision.Trial>(decide("first"))
        quarantine.recordAnswer(listOf("first"))
        peer.merge(quarantine.evidence())
        assertEquals(QuarantineDecision.Admitted, peer.check(listOf("first")) { false })
    }

    @Test
    fun `a withdrawn trial leaves the trial of a peer`() {
        val peer = PromptPartQuarantine(clock)
        listOf(quarantine, peer).forEach { each ->
            listOf("e-1", "e-2").forEach { each.recordCrash(it, listOf("deadly")) }
        }
        clock += 5.seconds
        assertIs<QuarantineDecision.Trial>(decide("deadly"))
        assertIs<QuarantineDecision.Trial>(peer.check(listOf("deadly")) { true })
        quarantine.merge(peer.evidence())
        quarantine.withdrawTrial(listOf("deadly"))
        assertIs<QuarantineDecision.Refused>(decide("deadly"))
    }

    @Test
    fun `evidence from the future neither holds a part nor clears it for good`() {
        quarantine.merge(
            mapOf(
                "sound" to PartEvidence(mapOf("e-1" to (-1).days, "e-2" to (-1).days)),
                "deadly" to PartEvidence(emptyMap(), answerAge = (-1).days),
            ),
        )
        clock += 1.seconds
        quarantine.recordAnswer(listOf("sound"))
        assertEquals(QuarantineDecision.Admitted, decide("sound"))
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("deadly")) }
        assertIs<QuarantineDecision.Refused>(decide("deadly"))
    }

    @Test
    fun `evidence of any age is merged without an error`() {
        val ages = listOf(Long.MAX_VALUE, Long.MIN_VALUE, 0, Long.MAX_VALUE / 2, Long.MIN_VALUE / 2)
            .map { it.milliseconds }
        ages.forEach { a ->
            ages.forEach { b ->
                ages.forEach { c ->
                    val q = PromptPartQuarantine(clock)
                    q.merge(mapOf("p" to PartEvidence(mapOf("e-1" to a, "e-2" to b), c, b)))
                    q.check(listOf("p")) { true }
                    q.recordCrash("e-3", listOf("p"))
                    q.check(listOf("p")) { true }
                    q.evidence()
                    q.recordAnswer(listOf("p"))
                    q.check(listOf("p")) { false }
                }
            }
        }
    }

    @Test
    fun `a sound part is tried even if the owner of its trial gets no requests with it`() {
        listOf("e-1", "e-2").forEach { quarantine.recordCrash(it, listOf("sound")) }
        val admitted = (1..300).firstOrNull {
            clock += 1.seconds
            quarantine.check(listOf("sound")) { false } !is QuarantineDecision.Refused
        }
        assertTrue(admitted != null, "refused for 300 s")
    }

    private fun decide(vararg parts: String) = quarantine.check(parts.toList()) { true }
}
