package org.celerywalk.engine

import org.celerywalk.limits
import org.celerywalk.standins.engine.DeterministicCompletion
import org.celerywalk.standins.engine.EngineSettings
import org.celerywalk.standins.engine.EngineStandIn
import org.celerywalk.waitUntil
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class HttpEngineTest {
    private val settings = EngineSettings(speed = 20.0, loadLagMillis = 0, eventDelayMillis = 0)
    private val standIn = EngineStandIn(settings = settings)
    private val engine = createClient(standIn)
    private val prompt = "spec sheet ".repeat(40)
    private val pieceNames = List(prompt.length / 64) { 0x7000_0000_0000_0000L + it }

    @AfterTest
    fun stop() {
        engine.close()
        standIn.close()
    }

    private fun createClient(standIn: EngineStandIn) = HttpEngine(standIn.url, limits, EngineStreamLimits(2, 5.seconds))

    private fun request(cacheScope: String = "kyushu", maxTokens: Int = 20) =
        EngineRequest("attempt", prompt, cacheScope, "1", pieceNames, maxTokens, priority = 0)

    private fun generate(request: EngineRequest, client: HttpEngine = engine): RecordingListener =
        RecordingListener().also { client.generate(request, it) }

    @Test
    fun `a completion arrives complete and in order, and its prompt is cached for its own cache scope only`() {
        val first = generate(request())
        assertEquals(20, first.awaitTotalTokens())
        assertEquals(List(20) { it }, first.offsets)
        assertEquals(DeterministicCompletion(prompt).text(0, 20), first.text)
        assertEquals(0, first.cachedTokensAtStart.get())
        assertEquals(pieceNames.size * 16, generate(request()).also { it.awaitTotalTokens() }.cachedTokensAtStart.get())
        assertEquals(
            0,
            generate(request(cacheScope = "outlets")).also { it.awaitTotalTokens() }.cachedTokensAtStart.get(),
        )
    }

    @Test
    fun `a token arrives as soon as it is generated, not when the completion is finished`() {
        val listener = RecordingListener()
        val call = engine.generate(request(maxTokens = 100_000), listener)
        waitUntil("three tokens arrive") { listener.offsets.size >= 3 }
        assertTrue(standIn.counts.generatedTokens < 100, "generated: ${standIn.counts.generatedTokens}")
        call.cancel()
    }

    @Test
    fun `an engine that has ended refuses connections, one that refuses a request does not`() {
        // Guards against an agent that takes the end of its engine for a cut connection, or the other way round.
        val refusedOrder = engine.order(EngineOrder("m", "", 0)).join()
        assertFalse(refusedOrder.leftOrNull()?.isConnectionRefused ?: false)
        standIn.close()
        waitUntil("the connection is refused") { engine.status().join().leftOrNull()?.isConnectionRefused ?: false }
    }

    @Test
    fun `a resumed completion continues at the resume offset`() {
        val resumed =
            generate(request().copy(resumeOffset = 8, resumeText = DeterministicCompletion(prompt).text(0, 8)))
        assertEquals(20, resumed.awaitTotalTokens())
        assertEquals(DeterministicCompletion(prompt).text(8, 20), resumed.text)
    }

    @Test
    fun `a resume with text that the engine did not generate is refused as not run`() {
        val refused = generate(request().copy(resumeOffset = 1, resumeText = "no"))
        assertEquals(true, refused.awaitError()?.isNotExecuted)
    }

    @Test
    fun `a request for weights that are not loaded is refused as not run`() {
        val refused = generate(request().copy(weights = "0"))
        assertEquals(true, refused.awaitError()?.isNotExecuted)
        assertFalse(refused.cachedTokensAtStart.isDone)
    }

    @Test
    fun `a crash closes the stream, empties the cache and changes the incarnation`() {
        val incarnationBefore = engine.status().get().getOrNull()?.incarnation
        val crashPoint = CompletableFuture<Unit>()
        val listener = RecordingListener { if (it == 3) crashPoint.complete(Unit) }
        engine.generate(request(maxTokens = 100_000), listener)
        crashPoint.get()
        standIn.crash()
        assertEquals(false, listener.awaitError()?.isNotExecuted)
        assertEquals(0, generate(request()).also { it.awaitTotalTokens() }.cachedTokensAtStart.get())
        assertNotEquals(incarnationBefore, engine.status().get().getOrNull()?.incarnation)
    }

    @Test
    fun `cancelling a call makes the engine drop its sequence`() {
        val listener = RecordingListener()
        val call = engine.generate(request(maxTokens = 100_000), listener)
        listener.cachedTokensAtStart.get()
        call.cancel()
        waitUntil("the engine drops the sequence") { standIn.counts.cancelled == 1 && standIn.counts.running == 0 }
        assertFalse(listener.isEnded())
    }

    @Test
    fun `a paused call gets no events until it is resumed, and loses none`() {
        val pauseRequested = CompletableFuture<Unit>()
        val engineCall = CompletableFuture<EngineCall>()
        val listener = RecordingListener {
            if (it == 3) {
                engineCall.get().pause()
                pauseRequested.complete(Unit)
            }
        }
        engineCall.complete(engine.generate(request(), listener))
        pauseRequested.get()
        waitUntil("the engine finishes the completion") { standIn.counts.finished == 1 }
        assertEquals(listOf(0, 1, 2, 3), listener.offsets)
        engineCall.get().resume()
        assertEquals(20, listener.awaitTotalTokens())
        assertEquals(DeterministicCompletion(prompt).text(0, 20), listener.text)
    }

    @Test
    fun `a request to an unreachable engine is reported as not run`() {
        standIn.close()
        assertEquals(true, generate(request()).awaitError()?.isNotExecuted)
    }

    @Test
    fun `an engine that checks fencing refuses an order with a lower fencing number than the last one`() {
        standIn.settings = standIn.settings.copy(checksFencing = true, loadMillis = 1)
        assertNull(engine.order(EngineOrder("demo", "2", 5)).get().leftOrNull())
        assertEquals(true, engine.order(EngineOrder("demo", "3", 4)).get().leftOrNull()?.isNotExecuted)
        waitUntil("weights 2 are loaded") { engine.status().get().getOrNull()?.weights == "2" }
        assertEquals(5, engine.status().get().getOrNull()?.lastFencingNumber)
    }

    @Test
    fun `exported pieces are cache hits in another engine after the import`() {
        generate(request()).awaitTotalTokens()
        val export = assertNotNull(engine.exportPieces("kyushu", pieceNames).get().getOrNull())
        EngineStandIn(settings = standIn.settings).use { other ->
            createClient(other).use { target ->
                assertEquals(false, target.importPieces("outlets", export).get().isRight())
                assertEquals(true, target.importPieces("kyushu", export).get().isRight())
                assertEquals(
                    pieceNames.size * 16,
                    generate(request(), client = target).also { it.awaitTotalTokens() }.cachedTokensAtStart.get(),
                )
            }
        }
    }

    @Test
    fun `cache events name the cached pieces, and lost events leave a gap in the sequence numbers`() {
        standIn.settings = standIn.settings.copy(cacheTokens = 16 * pieceNames.size)
        generate(request()).awaitTotalTokens()
        assertEquals(pieceNames.toSet(), pieces(isResident = true))
        standIn.settings = standIn.settings.copy(eventLoss = 1.0)
        generate(request(cacheScope = "outlets")).awaitTotalTokens()
        val events = assertNotNull(engine.cacheEvents(0).get().getOrNull())
        assertTrue(events.lastSequence > events.events.maxOf { it.sequence })
        assertEquals(pieceNames.toSet(), engine.residentPieces().get().getOrNull()?.events?.map { it.piece }?.toSet())
    }

    private fun pieces(isResident: Boolean) =
        engine.cacheEvents(0).get().getOrNull()?.events
            ?.filter { it.isResident == isResident }?.map { it.piece }?.toSet()
}
