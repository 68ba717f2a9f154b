package org.celerywalk.key

import org.celerywalk.configuration.KeyEntry
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Verifies keys against one version of the configuration.
 *
 * The key of an unknown id is compared with a dummy hash, so that the response time does not reveal which ids exist.
 */
public class KeyVerifier(private val hasher: KeyHasher, keys: List<KeyEntry>) {
    private val entriesById = keys.associateBy { it.id }
    private val hashesById = keys.associate { it.id to decodeHash(it.hash) }
    private val dummyHash = ByteArray(KeyHasher.HASH_BYTES)

    /** Returns the caller that [key] identifies, or null if the key is unknown, wrong or withdrawn. */
    public fun verify(key: CallerKey): Caller? {
        val isHashEqual = MessageDigest.isEqual(hashesById[key.id] ?: dummyHash, hasher.hash(key.text))
        return entriesById[key.id]?.takeIf { isHashEqual && !it.withdrawn }?.let { Caller(it.id, it.clientAccount) }
    }

    /** Whether the key of a previously authenticated [caller] is still valid for the same client account. */
    public fun isStillValid(caller: Caller): Boolean =
        entriesById[caller.keyId]?.let { !it.withdrawn && it.clientAccount == caller.clientAccount } ?: false

    // An entry whose hash is not hexadecimal gets a hash that no key has.
    private fun decodeHash(hash: String): ByteArray = try {
        HexFormat.of().parseHex(hash).takeIf { it.size == KeyHasher.HASH_BYTES }
    } catch (_: IllegalArgumentException) {
        null
    } ?: ByteArray(KeyHasher.HASH_BYTES)
}

/** Authenticated caller. The client account is derived from the key only. */
public data class Caller(public val keyId: String, public val clientAccount: String)
