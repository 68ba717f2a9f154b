package org.celerywalk.entry

import org.celerywalk.settings.EntryLimits
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamFaultTest {
    private val agent = FakeAgent("r0")
    private val entry = EntryFixture(agent, limits = EntryLimits(streamBufferBytes = 4_096)).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a disconnected caller cancels the agent's work`() {
        val startedStream = CompletableFuture<FakeStream>()
        agent.onGenerate = {
            it.sendStarted()
            it.sendToken("one")
            startedStream.complete(it)
        }
        entry.chat(stream = true).use { it.body.source().readUtf8Line() }
        startedStream.get(5, TimeUnit.SECONDS).cancelled.get(10, TimeUnit.SECONDS)
        entry.await { entry.settledTokens.get() == 10L }
    }

    @Test
    fun `a slow caller pauses only its own stream`() {
        // Guards against buffering a whole answer in memory for a caller that does not read.
        val sentCount = AtomicInteger()
        agent.onGenerate = { stream ->
            if (stream.request.prompt.contains("slow")) {
                sendChunks(stream, sentCount)
            } else {
                stream.sendAnswer("one", " two", " three")
            }
        }
        entry.openSocket().use { slowCaller ->
            slowCaller.getOutputStream().write(entry.rawChatRequest("slow").toByteArray())
            entry.await { sentCount.get() > 0 && hasStopped(sentCount) }
            assertTrue(
                sentCount.get() < CHUNK_COUNT,
                "all ${sentCount.get()} chunks were taken for a caller that reads nothing",
            )
            entry.chat(stream = false).use { assertContains(it.body.string(), "one two three") }
            val text = RawResponse(slowCaller.getInputStream().readAllBytes().toString(Charsets.UTF_8)).content
            assertEquals(CHUNK_COUNT, Regex("x{$CHUNK_CHARS}").findAll(text).count())
            assertContains(text, "[DONE]")
        }
    }

    @Test
    fun `a withdrawn or unconfirmed key cuts open streams with an error and no terminator`() {
        listOf({ entry.withdrawnKeyIds = setOf("k1") }, { entry.areKeysConfirmed = false }).forEach { invalidateKey ->
            entry.withdrawnKeyIds = emptySet()
            entry.areKeysConfirmed = true
            val startedStream = CompletableFuture<FakeStream>()
            agent.onGenerate = {
                it.sendStarted()
                it.sendToken("one")
                startedStream.complete(it)
            }
            entry.chat(stream = true).use {
                it.body.source().require(1)
                invalidateKey()
                val text = it.body.string()
                assertContains(text, "authentication_error")
                assertFalse("[DONE]" in text)
            }
            startedStream.get(5, TimeUnit.SECONDS).cancelled.get(5, TimeUnit.SECONDS)
        }
    }

    @Test
    fun `a stop lets an open stream finish and refuses new requests`() {
        val startedStream = CompletableFuture<FakeStream>()
        agent.onGenerate = {
            it.sendStarted()
            it.sendToken("one")
            startedStream.complete(it)
        }
        entry.chat(stream = true).use { response ->
            response.body.source().require(1)
            val stopThread = thread { entry.daemon.stop() }
            val key = "x-api-key" to EntryFixture.KEY
            entry.await { entry.get("/v1/models", key).use { it.code == 503 && "stopping" in it.body.string() } }
            assertEquals(503, entry.get("/health/ready").use { it.code })
            startedStream.get().run {
                sendToken(" two")
                sendFinished()
            }
            assertContains(response.body.string(), "[DONE]")
            stopThread.join()
        }
    }

    private fun sendChunks(stream: FakeStream, sentCount: AtomicInteger) {
        stream.sendStarted()
        val sendWhileReady = Runnable {
            while (stream.observer.isReady && sentCount.get() < CHUNK_COUNT) {
                stream.sendToken("x".repeat(CHUNK_CHARS))
                if (sentCount.incrementAndGet() == CHUNK_COUNT) stream.sendFinished()
            }
        }
        stream.observer.setOnReadyHandler(sendWhileReady)
        sendWhileReady.run()
    }

    // Waits 500 ms, in which an agent without backpressure would send thousands of chunks.
    private fun hasStopped(sentCount: AtomicInteger): Boolean {
        val sentBefore = sentCount.get()
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500)
        while (System.nanoTime() < deadlineNanos) Thread.onSpinWait()
        return sentCount.get() == sentBefore
    }

    private companion object {
        const val CHUNK_CHARS = 1_000
        const val CHUNK_COUNT = 20_000
    }
}
