package org.celerywalk.engine

import org.celerywalk.http.strict.EarlyServer
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

/** Guards against an engine that answers while it gets the prompt, and whose part of a stream counts as finished. */
class EarlyEngineResponseTest {
    // A stream counts as finished by its terminal event alone, which a part of it does not have.
    @Test
    fun `a part of a stream that ends during the upload has failed, however it is framed`() =
        EarlyServer.responses(STARTED, "Content-Type: text/event-stream\r\n").values.flatten().forEach { response ->
            EarlyServer.End.entries.forEach { end -> assertNotNull(failureOf(EarlyServer(response, end)), response) }
        }

    private fun failureOf(engine: EarlyServer): EngineError? = engine.use { server ->
        val listener = FailureListener()
        val limits = EngineStreamLimits(threads = 2, idleTimeout = 5.seconds)
        EngineStreams(server.url, connectTimeout = 5.seconds, limits).use {
            it.open("/generate", "a", ByteArray(EarlyServer.LARGE_BODY_BYTES), listener)
            listener.error.get(10, TimeUnit.SECONDS)
        }
    }

    private companion object {
        const val STARTED = "event: started\n" +
            "data: {\"incarnation\": \"e1\", \"weights\": \"w1\", \"prompt_tokens\": 2, \"cached_tokens\": 0}\n\n"
    }
}
