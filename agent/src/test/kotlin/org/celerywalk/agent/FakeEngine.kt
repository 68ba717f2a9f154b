package org.celerywalk.agent

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.engine.CacheEvents
import org.celerywalk.engine.Engine
import org.celerywalk.engine.EngineCall
import org.celerywalk.engine.EngineError
import org.celerywalk.engine.EngineListener
import org.celerywalk.engine.EngineOrder
import org.celerywalk.engine.EngineRequest
import org.celerywalk.engine.EngineStatus
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch

/** Engine whose generations call [respond] with their listener; the other calls succeed at once. */
class FakeEngine(
    var weights: String = "w1",
    private val capacity: Int = 8,
    private val respond: (EngineRequest, EngineListener) -> Unit = ::answerThreeTokens,
) : Engine {
    @Volatile
    var incarnation = "e1"

    /** While true, the engine refuses connections. */
    @Volatile
    var hasEnded = false
    val cancelLatch = CountDownLatch(1)
    val orders = mutableListOf<EngineOrder>()
    private fun events() = CacheEvents(incarnation, 0, emptyList())

    override fun generate(request: EngineRequest, listener: EngineListener): EngineCall {
        respond(request, listener)
        return object : EngineCall {
            override fun cancel() = cancelLatch.countDown()
        }
    }

    override fun status(): CompletableFuture<Either<EngineError, EngineStatus>> =
        if (hasEnded) {
            val error = EngineError("status", "e", "refused", isNotExecuted = true, isConnectionRefused = true)
            CompletableFuture.completedFuture(error.left())
        } else {
            completedFuture(EngineStatus(incarnation, "m", weights, null, 0, 0, capacity, 0))
        }

    override fun cacheEvents(after: Long): CompletableFuture<Either<EngineError, CacheEvents>> =
        completedFuture(events())

    override fun residentPieces(): CompletableFuture<Either<EngineError, CacheEvents>> = completedFuture(events())

    override fun order(order: EngineOrder): CompletableFuture<Either<EngineError, EngineStatus>> {
        orders += order
        weights = order.weights
        return status()
    }

    override fun exportPieces(
        cacheScope: String,
        pieces: List<Long>,
    ): CompletableFuture<Either<EngineError, ByteArray>> = completedFuture(ByteArray(0))

    override fun importPieces(cacheScope: String, content: ByteArray): CompletableFuture<Either<EngineError, Unit>> =
        completedFuture(Unit)

    private fun <T> completedFuture(value: T): CompletableFuture<Either<EngineError, T>> =
        CompletableFuture.completedFuture(value.right())
}

fun answerThreeTokens(request: EngineRequest, listener: EngineListener) {
    listener.onStarted("e1", request.weights, promptTokens = 2, cachedTokens = 0)
    listener.onTokens(request.resumeOffset, 2, "two ")
    listener.onTokens(request.resumeOffset + 2, 1, "one")
    listener.onFinished(request.resumeOffset + 3, "stop")
}
