package org.celerywalk.standins.engine

import java.security.MessageDigest

/** Size of a simulated token: this many bytes of UTF-8 count as one. */
internal const val BYTES_PER_TOKEN = 4

/** Returns the number of simulated tokens in [text], rounded up. */
internal fun countTokens(text: String): Int = (text.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

/**
 * Completion that every simulated engine generates for [prompt]; it depends on the prompt alone.
 *
 * A test computes the expected text with this class and compares it with the received text, also when several engines
 * generated parts of it.
 */
public class DeterministicCompletion(prompt: String) {
    private val seed = MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
        .take(Long.SIZE_BYTES)
        .fold(0L) { bits, byte -> bits shl Byte.SIZE_BITS or (byte.toLong() and UNSIGNED_BYTE_MASK) }

    /** Returns the text of the token at [offset]: a space and three lower-case letters. */
    public fun tokenText(offset: Int): String {
        var hash = (seed + offset * GOLDEN_RATIO_MULTIPLIER)
            .let { (it xor (it ushr MIX_SHIFT_BITS)) * GOLDEN_RATIO_MULTIPLIER ushr MIX_SHIFT_BITS }
        return buildString {
            append(' ')
            repeat(BYTES_PER_TOKEN - 1) {
                append('a' + (hash % ALPHABET_SIZE).toInt())
                hash /= ALPHABET_SIZE
            }
        }
    }

    /** Returns the text of the tokens from [from] up to, but not including, [until]. */
    public fun text(from: Int, until: Int): String = (from until until).joinToString("", transform = ::tokenText)

    private companion object {
        // 2^64 divided by the golden ratio, odd: multiplying by it spreads consecutive offsets over all 64 bits.
        const val GOLDEN_RATIO_MULTIPLIER = -0x61c8864680b583ebL
        const val MIX_SHIFT_BITS = 29
        const val ALPHABET_SIZE = 26
        const val UNSIGNED_BYTE_MASK = 0xffL
    }
}
