package org.celerywalk.limit

import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore

/**
 * Bulkhead that bounds the concurrent calls to one dependency, so that a slow dependency delays only the calls to it.
 *
 * @param maxConcurrentCalls calls that may be in progress at the same time; further calls are refused at once.
 */
public class Bulkhead(maxConcurrentCalls: Int, private val breaker: CircuitBreaker) {
    private val permits = Semaphore(maxConcurrentCalls)

    /**
     * Runs [operation], or returns null without running it if the bulkhead is full or the circuit breaker is open.
     *
     * @param isAnswer returns whether a result is an answer of the dependency, which includes a refusal.
     */
    public fun <T> call(isAnswer: (T) -> Boolean, operation: () -> CompletableFuture<T>): CompletableFuture<T>? {
        val hasPermit = permits.tryAcquire()
        val isAllowed = hasPermit && breaker.tryCall()
        if (hasPermit && !isAllowed) permits.release()
        return if (isAllowed) start(isAnswer, operation) else null
    }

    private fun <T> start(isAnswer: (T) -> Boolean, operation: () -> CompletableFuture<T>): CompletableFuture<T> =
        operation().whenComplete { result, failure ->
            permits.release()
            breaker.recordResult(failure == null && isAnswer(result))
        }
}
