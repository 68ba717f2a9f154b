package org.celerywalk.bench.load

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Describes a load of chat completions at a fixed rate (an open-loop load).
 *
 * @property requestsPerSecond rate of new requests, independent of the completion of earlier requests.
 * @property prefixTokens length of each shared prefix in tokens (4 bytes each).
 * @property prefixCount number of different shared prefixes.
 * @property suffixTokens length of the part of the prompt that is unique to the request, in tokens.
 * @property maxTokens length of each answer in tokens.
 */
internal data class LoadPlan(
    val requestsPerSecond: Int,
    val duration: Duration,
    val prefixTokens: Int,
    val prefixCount: Int,
    val suffixTokens: Int,
    val maxTokens: Int,
    val seed: Long,
) {
    private val sharedPrefixes = List(prefixCount) { randomText(Random(seed + it), prefixTokens) }

    /** Number of requests in [duration]. */
    val requestCount: Int get() = (requestsPerSecond * duration.inWholeMilliseconds / MILLIS_PER_SECOND).toInt()

    /** Returns the prompt of a request. It depends only on this plan and [requestNumber], which counts from 0. */
    fun prompt(requestNumber: Int): String {
        val random = Random(seed * requestCount + requestNumber)
        return sharedPrefixes[random.nextInt(prefixCount)] + randomText(random, suffixTokens)
    }

    private fun randomText(random: Random, tokenCount: Int) = buildString {
        repeat(tokenCount) {
            append(' ')
            repeat(LETTERS_PER_TOKEN) { append('a' + random.nextInt(ALPHABET_SIZE)) }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val ALPHABET_SIZE = 26
        const val LETTERS_PER_TOKEN = 3
    }
}
