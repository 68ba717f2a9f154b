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
            quarantine.recordAnswer("sound-endpoint", listOf("first"))
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
        quarantine.recordAnswer("sound-endpoint", listOf("first"))
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
                "sound" to PartEvidence(listOf("e-1", "e-2").associateWith { CrashAges((-1).days) }),
                "deadly" to PartEvidence(emptyMap(), answerAge = (-1).days),
            ),
        )
        clock += 1.seconds
        quarantine.recordAnswer("sound-endpoint", listOf("sound"))
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
                    val crashes = mapOf("e-1" to CrashAges(a), "e-2" to CrashAges(b, c))
                    val evidence = PartEvidence(crashes, c, mapOf("e-4" to a), b)
                    q.merge(mapOf("p" to evidence))
                    q.check(listOf("p")) { true }
                    q.recordCrash("e-3", listOf("p"))
                    q.check(listOf("p")) { true }
                    q.evidence()
                    q.recordAnswer("sound-endpoint", listOf("p"))
                    q.check(listOf("p")) { false }
                }
            }
        }
    }

    // Guards against a common part that is quarantined because all endpoints went down at once (review case 6).
    @Test
    fun `crashes of endpoints none of which was seen alive after another one had crashed count once`() {
        val peer = PromptPartQuarantine(clock)
        clock += 2.seconds
        listOf(quarantine, peer).forEachIndexed { i, instance ->
            repeat(4) { instance.recordCrash("e-$i-$it", listOf("common"), CrashAges(Duration.ZERO, 300.milliseconds)) }
            clock += 100.milliseconds
        }
        quarantine.merge(peer.evidence())
        assertEquals(QuarantineDecision.Admitted, decide("common"))
        quarantine.recordCrash("f-1", listOf("common"), CrashAges(Duration.ZERO, 50.milliseconds))
        assertEquals(QuarantineDecision.Refused("common", 5.seconds), decide("common"))
    }

    @Test
    fun `a report that shows that the crashes were not separate ends the quarantine`() {
        val peer = PromptPartQuarantine(clock)
        peer.recordCrash("e-2", listOf("common"), CrashAges(Duration.ZERO, 300.milliseconds))
        val lateReport = peer.evidence()
        quarantine.recordCrash("e-1", listOf("common"), CrashAges(Duration.ZERO, 300.milliseconds))
        clock += 1.seconds
        quarantine.merge(lateReport)
        assertIs<QuarantineDecision.Refused>(decide("common"))
        quarantine.merge(peer.evidence())
        assertEquals(QuarantineDecision.Admitted, decide("common"))
    }

    // Guards against a harmful part that the beginning of each answer clears (review case 8).
    @Test
    fun `an answer whose endpoint crashes right after its beginning counts against its parts`() {
        listOf("e-1", "e-2").forEach { endpoint ->
            quarantine.recordAnswer("sound-endpoint", listOf("first", "sound"))
            quarantine.recordAnswer(endpoint, listOf("first", "deadly"))
            clock += 6.milliseconds
            quarantine.recordCrash(endpoint, emptyList(), CrashAges(Duration.ZERO, 6.milliseconds))
            clock += 1.milliseconds
            quarantine.recordAnswer("sound-endpoint", listOf("first", "sound"))
        }
        assertIs<QuarantineDecision.Refused>(decide("first", "deadly"))
        assertEquals(QuarantineDecision.Admitted, decide("first", "sound"))
    }

    @Test
    fun `an answer that its endpoint outlives clears its parts, and a later crash says nothing about them`() {
        repeat(3) {
            quarantine.recordAnswer("e-$it", listOf("part"))
            clock += 1.seconds
            quarantine.recordCrash("e-$it", emptyList(), CrashAges(Duration.ZERO))
        }
        assertEquals(QuarantineDecision.Admitted, decide("part"))
    }

    @Test
    fun `an answer that is read after the crash of its endpoint is known does not clear its parts`() {
        quarantine.recordCrash("e-1", listOf("deadly"))
        clock += 1.seconds
        quarantine.recordCrash("e-2", listOf("other"))
        clock += 5.milliseconds
        quarantine.recordAnswer("e-2", listOf("deadly"), sinceSent = 300.milliseconds)
        assertIs<QuarantineDecision.Refused>(decide("deadly"))
    }

    @Test
    fun `a crash that only a peer noticed counts against the answers that the endpoint had just begun here`() {
        val peer = PromptPartQuarantine(clock)
        listOf("e-1", "e-2").forEach { endpoint ->
            quarantine.recordAnswer(endpoint, listOf("deadly"))
            clock += 6.milliseconds
            peer.recordCrash(endpoint, listOf("other-$endpoint"), CrashAges(Duration.ZERO, 6.milliseconds))
            clock += 200.milliseconds
            quarantine.merge(peer.evidence())
        }
        assertIs<QuarantineDecision.Refused>(decide("deadly"))
    }

    // Guards against a service that is down for long and whose common parts are then refused for minutes.
    @Test
    fun `the backoff does not grow while no other part of the lost requests is answered`() {
        fun crash(number: Int) = quarantine.recordCrash("e-$number", listOf("common", "application"))
        listOf(0, 1, 6, 11, 16).zipWithNext { at, next ->
            crash(at)
            clock += (next - at).seconds
        }
        crash(16)
        assertEquals(QuarantineDecision.Refused("common", 5.seconds), decide("common", "application"))
    }

    @Test
    fun `the backoff grows for each trial that ends in a crash while other parts of the lost requests are answered`() {
        val backoffs = List(4) { number ->
            quarantine.recordCrash("e-$number", listOf("first", "deadly"))
            clock += 1.milliseconds
            quarantine.recordAnswer("sound-endpoint", listOf("first"))
            val decision = decide("first", "deadly")
            clock += 20.seconds * number
            (decision as? QuarantineDecision.Refused)?.retryAfter?.inWholeSeconds
        }
        assertEquals(listOf(null, 4L, 19L, 79L), backoffs)
    }

    // Guards against common parts that are quarantined because a service fails within some hundred milliseconds.
    @Test
    fun `a part that was answered several times shortly before is quarantined only if it goes on to crash endpoints`() {
        repeat(2) {
            quarantine.recordAnswer("sound-endpoint", listOf("common"))
            clock += 1.seconds
        }
        repeat(4) {
            quarantine.recordCrash("e-$it", listOf("common"))
            clock += 100.milliseconds
        }
        assertEquals(QuarantineDecision.Admitted, decide("common"))
        clock += 5.seconds
        quarantine.recordCrash("e-4", listOf("common"))
        assertIs<QuarantineDecision.Refused>(decide("common"))
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
