package org.celerywalk.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.sun.management.ThreadMXBean
import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.routing.PrefixEndpointChooser
import org.celerywalk.routing.RoutingRequest
import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.random.Random

/**
 * Measures the time and the allocated memory of a routing decision in plain loops after a warm-up.
 *
 * JMH is not used because its annotation processor does not run for Kotlin in this build.
 */
internal class DecisionTimeCommand : CliktCommand(name = "time") {
    private val threadBean = ManagementFactory.getThreadMXBean() as ThreadMXBean

    override fun run() {
        echo("| replicas | µs a decision (median of $ROUNDS rounds) | relative | bytes a decision |")
        echo("| --- | --- | --- | --- |")
        val costs = replicaCounts.map { it to measure(it) }
        costs.forEach { (replicaCount, cost) ->
            val ratio = cost.micros / costs.first().second.micros
            echo("| %d | %.1f | %.1f | %d |".format(Locale.ROOT, replicaCount, cost.micros, ratio, cost.bytes))
        }
    }

    private fun measure(replicaCount: Int): DecisionCost {
        val loop = DecisionLoop(replicaCount)
        repeat(WARM_UP_ROUNDS) { loop.run(DECISIONS_PER_ROUND) }
        val costs = List(ROUNDS) {
            val bytesBefore = threadBean.currentThreadAllocatedBytes
            val startNanos = System.nanoTime()
            loop.run(DECISIONS_PER_ROUND)
            val nanos = System.nanoTime() - startNanos
            DecisionCost(
                nanos / NANOS_PER_MICRO / DECISIONS_PER_ROUND,
                (threadBean.currentThreadAllocatedBytes - bytesBefore) / DECISIONS_PER_ROUND,
            )
        }
        return costs.sortedBy { it.micros }[ROUNDS / 2]
    }

    /** Average time and allocated memory of one decision. */
    private class DecisionCost(val micros: Double, val bytes: Long)

    private companion object {
        const val WARM_UP_ROUNDS = 10
        const val ROUNDS = 11
        const val DECISIONS_PER_ROUND = 2_000
        const val NANOS_PER_MICRO = 1e3
        val replicaCounts = listOf(8, 80, 350, 1_400)
    }
}

/** Routes and ends requests whose prompts share nested prefixes. Each decision is followed by a new summary. */
private class DecisionLoop(replicaCount: Int) {
    private val random = Random(SEED)
    private val chooser = PrefixEndpointChooser()
    private val summaries = MutableList(replicaCount) { summary(it, 0) }
    private var nextRequestNumber = 0

    fun run(decisions: Int) = repeat(decisions) {
        val document = random.nextInt(DOCUMENT_COUNT)
        val request = RoutingRequest(
            requestId = "${nextRequestNumber++}",
            clientAccount = "account",
            model = ArrivalSource.MODEL,
            weights = ArrivalSource.WEIGHTS,
            pieceNames = List(PROMPT_PIECES) {
                Random(if (it < 2) it else document * PROMPT_PIECES + it).nextLong()
            },
            pieceTokens = PIECE_TOKENS,
            promptTokens = PROMPT_PIECES * PIECE_TOKENS + PIECE_TOKENS / 2,
            priority = 0,
        )
        val chosen = chooser.choose(request, summaries).first()
        chooser.recordSent(request, chosen)
        chooser.recordAnswer(request, chosen, PIECE_TOKENS * 2)
        chooser.recordEnd(request, chosen)
        val replicaIndex = random.nextInt(summaries.size)
        summaries[replicaIndex] = summary(replicaIndex, random.nextLong(MAX_QUEUED_TOKENS))
    }

    private fun summary(replicaIndex: Int, queuedTokens: Long) = ReplicaSummary(
        endpoint = "endpoint$replicaIndex",
        replica = "replica$replicaIndex",
        model = ArrivalSource.MODEL,
        weights = ArrivalSource.WEIGHTS,
        engineIncarnation = "incarnation$replicaIndex",
        accepting = true,
        queuedTokens = queuedTokens,
        running = 1,
        capacity = 2,
    )

    private companion object {
        const val SEED = 7
        const val DOCUMENT_COUNT = 2_000
        const val PROMPT_PIECES = 6
        const val PIECE_TOKENS = 4_000
        const val MAX_QUEUED_TOKENS = 40_000L
    }
}
