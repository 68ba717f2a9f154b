package org.celerywalk.key

import org.celerywalk.configuration.KeyEntry
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Checks keys against one version of the configuration.
 *
 * An unknown id is compared with a hash that no key has, so that the time of an answer does not tell which ids exist.
 */
public class Authenticator(private val hasher: KeyHasher, keys: List<KeyEntry>) {
    private val known = keys.associateBy { it.id }
    private val hashes = keys.associate { it.id to bytes(it.hash) }
    private val dummy = ByteArray(KeyHasher.HASH_BYTES)

    /** Returns the caller that [key] stands for, null if the key is unknown, wrong or withdrawn. */
    public fun authenticate(key: CallerKey): Caller? {
        val matches = MessageDigest.isEqual(hashes[key.id] ?: dummy, hasher.hash(key.text))
        return known[key.id]?.takeIf { matches && !it.withdrawn }?.let { Caller(it.id, it.clientAccount) }
    }

    /** Tells whether the key of an earlier authenticated [caller] still stands for the same client account. */
    public fun stillValid(caller: Caller): Boolean =
        known[caller.keyId]?.let { !it.withdrawn && it.clientAccount == caller.clientAccount } ?: false

    // A hash that is not hexadecimal matches no key.
    private fun bytes(hash: String): ByteArray = try {
        HexFormat.of().parseHex(hash).takeIf { it.size == KeyHasher.HASH_BYTES }
    } catch (_: IllegalArgumentException) {
        null
    } ?: ByteArray(KeyHasher.HASH_BYTES)
}

/** Identifies an authenticated caller. The client account comes from the key alone. */
public data class Caller(public val keyId: String, public val clientAccount: String)
