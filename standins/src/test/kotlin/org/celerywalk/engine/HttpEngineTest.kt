package org.celerywalk.engine

import org.celerywalk.limits
import org.celerywalk.standins.engine.Answer
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
    private val engine = client(standIn)
    private val prompt = "spec sheet ".repeat(40)
    private val names = List(prompt.length / 64) { 0x7000_0000_0000_0000L + it }

    @AfterTest
    fun stop() {
        engine.close()
        standIn.close()
    }

    private fun client(standIn: EngineStandIn) = HttpEngine(standIn.url, limits, EngineStreamLimits(2, 5.seconds))

    private fun request(scope: String = "kyushu", maxTokens: Int = 20) =
        EngineRequest("attempt", prompt, scope, "1", names, maxTokens, priority = 0)

    private fun run(request: EngineRequest, on: HttpEngine = engine): RecordingListener =
        RecordingListener().also { on.generate(request, it) }

    @Test
    fun `an answer arrives whole and in order and its prompt is cached for the same scope only`() {
        val first = run(request())
        assertEquals(20, first.total())
        assertEquals(List(20) { it }, first.offsets)
        assertEquals(Answer(prompt).text(0, 20), first.text)
        assertEquals(0, first.started.get())
        assertEquals(names.size * 16, run(request()).also { it.total() }.started.get())
        assertEquals(0, run(request(scope = "outlets")).also { it.total() }.started.get())
    }

    @Test
    fun `a token arrives as soon as it is generated, not when the answer is complete`() {
        val listener = RecordingListener()
        val call = engine.generate(request(maxTokens = 100_000), listener)
        waitUntil("three tokens arrive") { listener.offsets.size >= 3 }
        assertTrue(standIn.counts.generatedTokens < 100, "generated: ${standIn.counts.generatedTokens}")
        call.cancel()
    }

    @Test
    fun `a resumed answer continues exactly where it stopped`() {
        val rest = run(request().copy(resumeOffset = 8, resumeText = Answer(prompt).text(0, 8)))
        assertEquals(20, rest.total())
        assertEquals(Answer(prompt).text(8, 20), rest.text)
    }

    @Test
    fun `a resumed answer with another text is refused before any work`() {
        val refused = run(request().copy(resumeOffset = 1, resumeText = "no"))
        assertEquals(true, refused.error()?.isNotExecuted)
    }

    @Test
    fun `old weights are refused before any work`() {
        val refused = run(request().copy(weights = "0"))
        assertEquals(true, refused.error()?.isNotExecuted)
        assertFalse(refused.started.isDone)
    }

    @Test
    fun `a crash cuts the stream, empties the cache and changes the incarnation`() {
        val before = engine.status().get().getOrNull()?.incarnation
        val crash = CompletableFuture<Unit>()
        val listener = RecordingListener { if (it == 3) crash.complete(Unit) }
        engine.generate(request(maxTokens = 100_000), listener)
        crash.get()
        standIn.crash()
        assertEquals(false, listener.error()?.isNotExecuted)
        assertEquals(0, run(request()).also { it.total() }.started.get())
        assertNotEquals(before, engine.status().get().getOrNull()?.incarnation)
    }

    @Test
    fun `cancelling a call ends the engine's work`() {
        val listener = RecordingListener()
        val call = engine.generate(request(maxTokens = 100_000), listener)
        listener.started.get()
        call.cancel()
        waitUntil("the engine dropped the sequence") { standIn.counts.cancelled == 1 && standIn.counts.running == 0 }
        assertFalse(listener.ended())
    }

    @Test
    fun `a paused call gets no events until it is resumed, and loses none`() {
        val reached = CompletableFuture<Unit>()
        val handle = CompletableFuture<EngineCall>()
        val listener = RecordingListener {
            if (it == 3) {
                handle.get().pause()
                reached.complete(Unit)
            }
        }
        handle.complete(engine.generate(request(), listener))
        reached.get()
        waitUntil("the engine is done") { standIn.counts.finished == 1 }
        assertEquals(listOf(0, 1, 2, 3), listener.offsets)
        handle.get().resume()
        assertEquals(20, listener.total())
        assertEquals(Answer(prompt).text(0, 20), listener.text)
    }

    @Test
    fun `an engine that cannot be connected to has not run the request`() {
        standIn.close()
        assertEquals(true, run(request()).error()?.isNotExecuted)
    }

    @Test
    fun `an order with an old fencing number is refused by an engine that checks it`() {
        standIn.settings = standIn.settings.copy(checksFencing = true, loadMillis = 1)
        assertNull(engine.order(EngineOrder("demo", "2", 5)).get().leftOrNull())
        assertEquals(true, engine.order(EngineOrder("demo", "3", 4)).get().leftOrNull()?.isNotExecuted)
        waitUntil("weights 2 are loaded") { engine.status().get().getOrNull()?.weights == "2" }
        assertEquals(5, engine.status().get().getOrNull()?.lastFencingNumber)
    }

    @Test
    fun `exported pieces are a hit in another engine after the import`() {
        run(request()).total()
        val export = assertNotNull(engine.exportPieces("kyushu", names).get().getOrNull())
        EngineStandIn(settings = standIn.settings).use { other ->
            client(other).use { target ->
                assertEquals(false, target.importPieces("outlets", export).get().isRight())
                assertEquals(true, target.importPieces("kyushu", export).get().isRight())
                assertEquals(names.size * 16, run(request(), on = target).also { it.total() }.started.get())
            }
        }
    }

    @Test
    fun `events name the pieces that came and went, and lost events leave gaps in the numbers`() {
        standIn.settings = standIn.settings.copy(cacheTokens = 16 * names.size)
        run(request()).total()
        assertEquals(names.toSet(), pieces(resident = true))
        standIn.settings = standIn.settings.copy(eventLoss = 1.0)
        run(request(scope = "outlets")).total()
        val events = assertNotNull(engine.cacheEvents(0).get().getOrNull())
        assertTrue(events.lastSequence > events.events.maxOf { it.sequence })
        assertEquals(names.toSet(), engine.residentPieces().get().getOrNull()?.events?.map { it.piece }?.toSet())
    }

    private fun pieces(resident: Boolean) =
        engine.cacheEvents(0).get().getOrNull()?.events?.filter { it.resident == resident }?.map { it.piece }?.toSet()
}
