package org.celerywalk.cache

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Chained hashes of a prompt's pieces: equal names mean equal prefixes for the same client account, model and weights.
 *
 * A piece is a fixed-size block of the prompt. Its name is the first 64 bits of the SHA-256 of the preceding name and
 * the piece's bytes. The chain starts with a hash of client account, model and weights, so that names never match
 * across accounts, models or weights.
 *
 * @param pieceTokens size of a piece in tokens; four bytes of UTF-8 count as one token.
 */
public class PieceNames(clientAccount: String, model: String, weights: String, pieceTokens: Int) {
    private val pieceBytes = pieceTokens * BYTES_PER_TOKEN
    private val seed = hashOfTexts(listOf(clientAccount, model, weights))

    init {
        require(pieceTokens > 0) { "given pieces of $pieceTokens tokens, expected at least 1" }
    }

    /** Returns the names of all complete pieces of [prompt], in order. */
    public fun forPrompt(prompt: String): List<Long> {
        val bytes = prompt.toByteArray()
        return names(bytes, 0..bytes.size - pieceBytes step pieceBytes)
    }

    /** Returns the names of all pieces of [prompt], in order; the last name stands for the whole prompt. */
    public fun forWholePrompt(prompt: String): List<Long> {
        val bytes = prompt.toByteArray()
        return names(bytes, bytes.indices step pieceBytes)
    }

    private fun names(bytes: ByteArray, starts: IntProgression): List<Long> =
        starts.runningFold(seed) { name, start -> nextName(name, bytes, start) }.drop(1)

    private fun nextName(previousName: Long, bytes: ByteArray, start: Int): Long {
        val digest = MessageDigest.getInstance(HASH_ALGORITHM)
        digest.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(previousName).flip())
        digest.update(bytes, start, minOf(pieceBytes, bytes.size - start))
        return ByteBuffer.wrap(digest.digest()).getLong()
    }

    public companion object {
        /** Bytes of UTF-8 that count as one token. */
        public const val BYTES_PER_TOKEN: Int = 4

        /** Returns the length of [text] in tokens, rounded up. */
        public fun tokens(text: String): Int = (text.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
    }
}
