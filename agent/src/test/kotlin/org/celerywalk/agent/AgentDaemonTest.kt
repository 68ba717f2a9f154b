package org.celerywalk.agent

import io.grpc.CallOptions
import io.grpc.Context
import io.grpc.ServerServiceDefinition
import io.grpc.stub.ClientCalls
import org.celerywalk.booking.BookingAnswer
import org.celerywalk.booking.CallResult
import org.celerywalk.configuration.CommercialSection
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.EndpointEntry
import org.celerywalk.configuration.EndpointState
import org.celerywalk.configuration.PlatformSection
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.engine.EngineError
import org.celerywalk.protocol.BarRequest
import org.celerywalk.protocol.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.protocol.HelloReply
import org.celerywalk.protocol.HelloRequest
import org.celerywalk.protocol.ServiceRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.rpc.PROTOCOL_VERSION
import org.celerywalk.rpc.openChannel
import org.celerywalk.settings.AgentSettings
import org.celerywalk.settings.PlatformSettings
import org.celerywalk.settings.ProcessSettings
import org.celerywalk.sync.ConfigurationSource
import org.celerywalk.table.FakeTable
import org.celerywalk.table.Table
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Calls an agent over gRPC, with a fake engine and a fake plain service behind it. */
class AgentDaemonTest {
    private val closeActions = mutableListOf<() -> Unit>()
    private val serviceCallCount = AtomicInteger()
    private val configuration = MutableConfigurationSource()
    private val announcedStops = AtomicInteger()
    private val peers = object : PeerSyncService {
        override val service = ServerServiceDefinition.builder("peer").build()

        override fun start() = Unit

        override fun announceStop() {
            announcedStops.incrementAndGet()
        }

        override fun close() = Unit
    }

    @AfterTest
    fun close() = closeActions.forEach { it() }

    @Test
    fun `a generation is streamed in order and ends with its total token count`() {
        val agent = startAgent()
        val events = agent.generate(agent.generation()).asSequence().toList()

        assertEquals("r1", events.first().started.replica)
        assertEquals("two one", events.joinToString("") { it.tokens.text })
        assertEquals(3, events.last().finished.totalTokens)
    }

    @Test
    fun `an attempt for another incarnation or other weights is refused as not run`() {
        val agent = startAgent()
        val staleRequests = listOf(
            agent.generation().toBuilder().setAgentIncarnation("older").build() to "agent_replaced",
            agent.generation().toBuilder().setWeights("w0").build() to "weights_changed",
        )
        staleRequests.forEach { (request, code) ->
            val event = agent.generate(request).next()
            assertEquals(code to Execution.NOT_RUN, event.refused.code to event.refused.execution)
        }
    }

    @Test
    fun `the engine stops a generation whose caller has cancelled`() {
        val engine = FakeEngine { request, listener -> listener.onStarted("e1", request.weights, 2, 0) }
        val agent = startAgent(engine)
        val context = Context.current().withCancellation()
        context.run {
            agent.generate(agent.generation()).next()
        }
        context.cancel(null)
        assertTrue(engine.cancelLatch.await(5, TimeUnit.SECONDS))
    }

    @Test
    fun `an attempt that ends with its engine is reported as a crash, one whose stream was cut is not`() {
        // Guards against prompts that crash one engine after the other, since a crash looks like a lost connection.
        val endings: List<Pair<FakeEngine.() -> Unit, String>> = listOf(
            Pair({ hasEnded = true }, "engine_crashed"),
            Pair({ incarnation = "e2" }, "engine_crashed"),
            Pair({}, "engine_failed"),
            Pair({ incarnation = "e2".also { weights = "w2" } }, "engine_failed"),
        )
        endings.forEach { (end, code) ->
            lateinit var engine: FakeEngine
            engine = FakeEngine { _, listener ->
                engine.end()
                listener.onFailed(EngineError("generate", "e", "the stream was cut", isNotExecuted = false))
            }
            val agent = startAgent(engine)
            val refusal = agent.generate(agent.generation()).next().refused
            assertEquals(code to Execution.UNKNOWN, refusal.code to refusal.execution)
        }
    }

    // Guards against a prompt that crashes engines after their first token and is never quarantined (review case 8).
    @Test
    fun `an engine that ends after the first token is reported as a crash of a generation that has run`() {
        lateinit var engine: FakeEngine
        engine = FakeEngine { request, listener ->
            listener.onStarted("e1", request.weights, promptTokens = 2, cachedTokens = 0)
            listener.onTokens(request.resumeOffset, 1, "one")
            engine.hasEnded = true
            listener.onFailed(EngineError("generate", "e", "the stream was cut", isNotExecuted = false))
        }
        val agent = startAgent(engine)
        val refusal = agent.generate(agent.generation()).asSequence().last().refused
        assertEquals("engine_crashed" to Execution.RAN, refusal.code to refusal.execution)
    }

    @Test
    fun `a retried booking gets the recorded answer without a second service call`() {
        val agent = startAgent()
        val replies = listOf("a1", "a2").map { agent.call(agent.booking(it)) }
        assertEquals(listOf(false, true), replies.map { it.replayed })
        assertEquals(listOf("swapped", "swapped"), replies.map { it.body.toStringUtf8() })
        assertEquals(1, serviceCallCount.get())
    }

    @Test
    fun `a booking that arrives after it was barred is not run`() {
        val agent = startAgent()
        val booking = agent.booking("a1")
        val bar = BarRequest.newBuilder().setAttemptId("a1").setAgentIncarnation(agent.daemon.incarnation)
            .setExpiresAtMillis(booking.expiresAtMillis).build()
        val barReply = ClientCalls.blockingUnaryCall(agent.channel, AgentMethods.BAR, CallOptions.DEFAULT, bar)
        assertEquals(Execution.NOT_RUN, barReply.execution)
        assertEquals(Execution.NOT_RUN, agent.call(booking).execution)
        assertEquals(0, serviceCallCount.get())
    }

    @Test
    fun `an unresponsive table does not block a generation`() {
        val agent = startAgent(table = UnresponsiveTable)
        val bookingCall = ClientCalls.futureUnaryCall(
            agent.channel.newCall(AgentMethods.CALL_SERVICE, CallOptions.DEFAULT),
            agent.booking("a1"),
        )
        val lastEvent = agent.generate(agent.generation()).asSequence().last()
        assertTrue(lastEvent.hasFinished())
        bookingCall.cancel(true)
    }

    @Test
    fun `a draining endpoint refuses new work as not run and finishes running generations`() {
        lateinit var finishGeneration: () -> Unit
        val engine = FakeEngine { request, listener ->
            listener.onStarted("e1", request.weights, 2, 0)
            finishGeneration = { listener.onFinished(request.resumeOffset, "stop") }
        }
        val agent = startAgent(engine)
        val events = agent.generate(agent.generation())
        assertTrue(events.next().hasStarted())
        val endpoint = EndpointEntry("e1", "fukuoka-a", "127.0.0.1:1", EndpointState.DRAINING)
        configuration.change(PlatformSection(endpoints = listOf(endpoint)))

        val refusal = agent.generate(agent.generation().toBuilder().setAttemptId("a2").build()).next().refused
        assertEquals("leaving" to Execution.NOT_RUN, refusal.code to refusal.execution)
        val bookingReply = agent.call(agent.booking("a3"))
        assertEquals("leaving" to Execution.NOT_RUN, bookingReply.code to bookingReply.execution)
        finishGeneration()
        assertTrue(events.next().hasFinished())
    }

    @Test
    fun `a stopping agent says so in every answer and to its peers, and finishes what runs`() {
        lateinit var finishGeneration: () -> Unit
        val engine = FakeEngine { request, listener ->
            listener.onStarted("e1", request.weights, 2, 0)
            finishGeneration = { listener.onFinished(request.resumeOffset, "stop") }
        }
        val agent = startAgent(engine)
        val events = agent.generate(agent.generation())
        assertEquals(false, events.next().agentStopping)
        val stop = thread { agent.daemon.stop() }
        while (!agent.hello().stopping) Thread.onSpinWait()

        assertEquals(1, announcedStops.get())
        val refusal = agent.generate(agent.generation().toBuilder().setAttemptId("a2").build()).next()
        assertEquals("leaving" to true, refusal.refused.code to refusal.agentStopping)
        val bookingReply = agent.call(agent.booking("a3"))
        assertEquals(Execution.NOT_RUN to true, bookingReply.execution to bookingReply.agentStopping)
        finishGeneration()
        val lastEvent = events.next()
        assertTrue(lastEvent.hasFinished() && lastEvent.agentStopping)
        stop.join()
    }

    private fun startAgent(engine: FakeEngine = FakeEngine(), table: Table = FakeTable()): RunningAgent {
        val process = ProcessSettings("i1", "kyushu", "fukuoka-a", "127.0.0.1:0", "127.0.0.1:0", "s", "p")
            .copy(stopTimeout = 1.seconds)
        val settings = AgentSettings(process, PlatformSettings("", "", ""), "e1")
        val service = PlainService {
            serviceCallCount.incrementAndGet()
            CompletableFuture.completedFuture(
                CallResult.Answered(BookingAnswer(200, emptyList(), "swapped".toByteArray())),
            )
        }
        val dependencies =
            AgentDependencies(table, mapOf("r1" to engine), mapOf("swaps" to service), configuration, peers)
        val daemon = AgentDaemon(settings) { dependencies }
        daemon.start()
        val channel = openChannel(daemon.identity.address, "s")
        closeActions += { channel.shutdownNow() }
        closeActions += { daemon.stop() }
        return RunningAgent(daemon, channel).also { assertEquals(daemon.incarnation, it.hello().receiver.incarnation) }
    }
}

private class RunningAgent(val daemon: AgentDaemon, val channel: io.grpc.Channel) {
    fun generation(): GenerateRequest = GenerateRequest.newBuilder()
        .setAttemptId("a1").setAgentIncarnation(daemon.incarnation).setClientAccount("kyushu")
        .setModel("m").setWeights("w1").setReplica("r1").setPrompt("bucket").setMaxTokens(3).build()

    fun hello(): HelloReply {
        val request = HelloRequest.newBuilder().setProtocolVersion(PROTOCOL_VERSION).build()
        return ClientCalls.blockingUnaryCall(channel, AgentMethods.HELLO, CallOptions.DEFAULT, request)
    }

    fun booking(attempt: String): ServiceRequest = ServiceRequest.newBuilder()
        .setAttemptId(attempt).setAgentIncarnation(daemon.incarnation).setClientAccount("kyushu").setService("swaps")
        .setIdempotencyKey("k1").setExpiresAtMillis(System.currentTimeMillis() + LIFETIME_MILLIS).build()

    fun generate(request: GenerateRequest): Iterator<GenerateEvent> =
        ClientCalls.blockingServerStreamingCall(channel, AgentMethods.GENERATE, withDeadline(), request)

    private fun withDeadline() = CallOptions.DEFAULT.withDeadlineAfter(LIFETIME_MILLIS, TimeUnit.MILLISECONDS)

    fun call(request: ServiceRequest) =
        ClientCalls.blockingUnaryCall(channel, AgentMethods.CALL_SERVICE, CallOptions.DEFAULT, request)

    private companion object {
        const val LIFETIME_MILLIS = 30_000L
    }
}

private class MutableConfigurationSource(var configuration: Configuration? = null) : ConfigurationSource {
    private val listeners = mutableListOf<(Configuration) -> Unit>()

    override fun current(): Configuration? = configuration

    override fun onChange(listener: (Configuration) -> Unit) {
        listeners += listener
    }

    fun change(platform: PlatformSection) {
        val newConfiguration = Configuration(1, emptyMap(), CommercialSection(), SecuritySection(), platform)
        configuration = newConfiguration
        listeners.forEach { it(newConfiguration) }
    }
}
