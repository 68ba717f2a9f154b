package org.celerywalk.entry

import com.google.protobuf.ByteString
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import org.celerywalk.protocol.BarReply
import org.celerywalk.protocol.BarRequest
import org.celerywalk.protocol.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateFinished
import org.celerywalk.protocol.GenerateRefused
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.protocol.GenerateStarted
import org.celerywalk.protocol.GenerateTokens
import org.celerywalk.protocol.HelloReply
import org.celerywalk.protocol.HelloRequest
import org.celerywalk.protocol.ProcessIdentity
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.protocol.ServiceReply
import org.celerywalk.protocol.ServiceRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.rpc.PROTOCOL_VERSION
import org.celerywalk.rpc.SharedSecretServer
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

/** gRPC server in place of an agent, with scripted replies. */
class FakeAgent(
    private val replica: String,
    var queuedTokens: Long = 0,
    var onGenerate: (FakeStream) -> Unit = { it.sendAnswer("one", " two", " three") },
) : AutoCloseable {
    val requests = CopyOnWriteArrayList<GenerateRequest>()
    val serviceRequests = CopyOnWriteArrayList<ServiceRequest>()
    val helloReceived = CountDownLatch(1)

    /** Replies to calls of plain services; null fails the call without a reply. */
    var onServiceCall: (ServiceRequest) -> ServiceReply? = { okReply(it, "done") }

    /** Replies to requests to bar an attempt; null fails the call without a reply. */
    var onBar: (BarRequest) -> BarReply? = { BarReply.newBuilder().setExecution(Execution.NOT_RUN).build() }

    /** Whether replies say that the agent stops. */
    @Volatile
    var isStopping = false

    @Volatile
    private var engineStarts = 1
    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", 0))
        .intercept(SharedSecretServer(SECRET))
        .addService(definition())
        .build()
        .start()
    val address = "127.0.0.1:${server.port}"

    override fun close() {
        server.shutdownNow()
    }

    /** Ends [stream] as if the engine had crashed and started again. */
    fun crashEngine(stream: FakeStream) {
        engineStarts++
        stream.sendRefused(Execution.UNKNOWN, code = "engine_crashed", summary = summary())
    }

    private fun summary() = ReplicaSummary.newBuilder().setReplica(replica).setModel(MODEL).setWeights(WEIGHTS)
        .setEngineIncarnation("$replica-engine-$engineStarts").setAccepting(true).setQueuedTokens(queuedTokens)
        .setCapacity(8).build()

    private fun definition() = ServerServiceDefinition.builder(AgentMethods.SERVICE)
        .addMethod(AgentMethods.HELLO, ServerCalls.asyncUnaryCall(::hello))
        .addMethod(AgentMethods.GENERATE, ServerCalls.asyncServerStreamingCall(::generate))
        .addMethod(AgentMethods.CALL_SERVICE, ServerCalls.asyncUnaryCall(::callService))
        .addMethod(AgentMethods.BAR, ServerCalls.asyncUnaryCall { request, out -> reply(out, onBar(request)) })
        .build()

    @Suppress("UNUSED_PARAMETER")
    private fun hello(request: HelloRequest, observer: StreamObserver<HelloReply>) {
        val identity = ProcessIdentity.newBuilder().setInstance(replica).setIncarnation("$replica-1")
        reply(
            observer,
            HelloReply.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setReceiver(identity)
                .addReplicas(summary())
                .setStopping(isStopping)
                .build(),
        )
        helloReceived.countDown()
    }

    private fun generate(request: GenerateRequest, observer: StreamObserver<GenerateEvent>) {
        val stream = FakeStream(request, observer as ServerCallStreamObserver<GenerateEvent>) { isStopping }
        requests += request
        onGenerate(stream)
    }

    private fun callService(request: ServiceRequest, observer: StreamObserver<ServiceReply>) {
        serviceRequests += request
        reply(observer, onServiceCall(request)?.toBuilder()?.setAgentStopping(isStopping)?.build())
    }

    // Without a value, the call fails as if the connection was lost.
    private fun <T> reply(observer: StreamObserver<T>, value: T?) = if (value == null) {
        observer.onError(Status.UNAVAILABLE.asRuntimeException())
    } else {
        observer.onNext(value)
        observer.onCompleted()
    }

    companion object {
        const val SECRET = "test-secret"
        const val MODEL = "bucket-model"
        const val WEIGHTS = "w1"

        fun okReply(request: ServiceRequest, text: String): ServiceReply = ServiceReply.newBuilder()
            .setAttemptId(request.attemptId)
            .setExecution(Execution.RAN)
            .setStatus(200)
            .setBody(ByteString.copyFromUtf8(text))
            .build()
    }
}

/** Sends the events of one attempt. */
class FakeStream(
    val request: GenerateRequest,
    val observer: ServerCallStreamObserver<GenerateEvent>,
    private val isStopping: () -> Boolean = { false },
) {
    val cancelled = CompletableFuture<Unit>()
    private var nextOffset = request.resumeOffset

    init {
        observer.setOnCancelHandler { cancelled.complete(Unit) }
    }

    fun sendStarted(cachedTokens: Int = 4) = send {
        setStarted(
            GenerateStarted.newBuilder().setWeights(request.weights).setPromptTokens(9).setCachedTokens(cachedTokens),
        )
    }

    fun sendToken(text: String, offset: Int = nextOffset++) =
        send { setTokens(GenerateTokens.newBuilder().setOffset(offset).setCount(1).setText(text)) }

    fun sendFinished(totalTokens: Int = nextOffset) {
        send { setFinished(GenerateFinished.newBuilder().setTotalTokens(totalTokens).setFinishReason("stop")) }
        observer.onCompleted()
    }

    fun sendRefused(
        execution: Execution,
        redirect: String = "",
        code: String = "full",
        summary: ReplicaSummary? = null,
    ) {
        val refused = GenerateRefused.newBuilder().setCode(code).setMessage("the queue is full").setExecution(execution)
            .setRetryAfterMillis(1500).setRedirectEndpoint(redirect)
        summary?.let(refused::setSummary)
        send { setRefused(refused) }
        observer.onCompleted()
    }

    /** Fails the call, as a crash of the agent would. */
    fun crash() = observer.onError(Status.UNAVAILABLE.asRuntimeException())

    /** Sends a complete answer of one token for each text, from the resume offset on. */
    fun sendAnswer(vararg texts: String) {
        sendStarted()
        texts.drop(request.resumeOffset).forEach { sendToken(it) }
        sendFinished()
    }

    private fun send(build: GenerateEvent.Builder.() -> Unit) {
        val event = GenerateEvent.newBuilder().setAttemptId(request.attemptId).setAgentStopping(isStopping())
        observer.onNext(event.apply(build).build())
    }
}
