package org.celerywalk.bench.admission

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Kind of request.
 *
 * @property rank urgency; 0 is the most urgent.
 * @property value value of a first token within [target].
 */
internal enum class Kind(val promptTokens: Long, val target: Duration, val rank: Int, val value: Int) {
    SHORT(promptTokens = 800, target = 400.milliseconds, rank = 0, value = 3),
    LONG(promptTokens = 9_000, target = 1.seconds, rank = 2, value = 1),
}

/** Requests of one account and kind, with their offered load as a share of the capacity of all replicas. */
internal data class Stream(val account: String, val kind: Kind, val load: Double) {
    fun scaledBy(factor: Double): Stream = copy(load = load * factor)
}

/**
 * Request that a caller sends to the gateway number [gateway] at [time] of the run.
 *
 * @property replicas replicas that may run it, a few of all, as shared prefixes let the chooser prefer some.
 */
internal class Call(val stream: Stream, val time: Duration, val gateway: Int, val replicas: List<Int>) {
    val account: String get() = stream.account
    val kind: Kind get() = stream.kind
}

/** Mix of streams for an offered load. */
internal enum class Mix(val title: String, val streams: (load: Double) -> List<Stream>) {
    /** Two accounts stay within what they need; the long prompts of `burst` make up the rest of the load. */
    BURST("burst of long prompts of one account", { load ->
        val others = listOf(Stream("urgent", Kind.SHORT, load = 0.3), Stream("steady", Kind.LONG, load = 0.1))
        others + Stream("burst", Kind.LONG, load - others.sumOf { it.load })
    }),

    /** Three accounts that send most, in other proportions, beside a small one. */
    HOT_ACCOUNTS("several hot accounts", { load ->
        listOf(
            Stream("a", Kind.SHORT, load = 0.18),
            Stream("a", Kind.LONG, load = 0.27),
            Stream("b", Kind.SHORT, load = 0.12),
            Stream("b", Kind.LONG, load = 0.18),
            Stream("c", Kind.SHORT, load = 0.08),
            Stream("c", Kind.LONG, load = 0.12),
            Stream("small", Kind.SHORT, load = 0.02),
            Stream("small", Kind.LONG, load = 0.03),
        ).map { it.scaledBy(load) }
    }),

    /** Urgent requests alone exceed the capacity from 170 % on. */
    URGENT("urgent requests of two accounts", { load ->
        listOf(
            Stream("a", Kind.SHORT, load = 0.4),
            Stream("b", Kind.SHORT, load = 0.2),
            Stream("b", Kind.LONG, load = 0.4),
        ).map { it.scaledBy(load) }
    }),
    ;

    /** Returns the calls of a run in order of time; those of each stream are a Poisson process. */
    fun calls(load: Double, capacity: Double, gateways: Int, seed: Int): List<Call> =
        streams(load).flatMapIndexed { index, stream ->
            val random = Random(seed * SEED_FACTOR + index)
            val perSecond = stream.load * capacity / stream.kind.promptTokens
            generateSequence(nextGap(random, perSecond)) { it + nextGap(random, perSecond) }
                .takeWhile { it < RUN_TIME }
                .map { time ->
                    val replicas = List(2) { random.nextInt(AdmissionSimulation.REPLICAS) }
                    Call(stream, time, random.nextInt(gateways), replicas)
                }
                .toList()
        }.sortedBy { it.time }

    private fun nextGap(random: Random, perSecond: Double) = (-ln(1 - random.nextDouble()) / perSecond).seconds

    companion object {
        val RUN_TIME = 40.seconds
        private const val SEED_FACTOR = 1_000
    }
}
