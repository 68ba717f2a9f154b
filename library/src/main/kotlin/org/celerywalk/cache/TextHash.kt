package org.celerywalk.cache

import java.nio.ByteBuffer
import java.security.MessageDigest

internal const val HASH_ALGORITHM = "SHA-256"

/** Returns the first 64 bits of a hash of [texts], in their order. */
internal fun hashOfTexts(texts: List<String>): Long {
    val digest = MessageDigest.getInstance(HASH_ALGORITHM)
    texts.map { it.toByteArray() }.forEach { text ->
        // The length prefixes make ("ab", "c") and ("a", "bc") differ.
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(text.size).flip())
        digest.update(text)
    }
    return ByteBuffer.wrap(digest.digest()).getLong()
}
