package org.celerywalk.key

import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Computes the HMAC-SHA-256 of keys and operator tokens with the pepper from the settings as HMAC key. */
public class KeyHasher(pepper: String) {
    private val secret = SecretKeySpec(pepper.toByteArray(), ALGORITHM)

    /** Returns the HMAC of [text], [HASH_BYTES] long. */
    public fun hash(text: String): ByteArray = Mac.getInstance(ALGORITHM).run {
        init(secret)
        doFinal(text.toByteArray())
    }

    /** Returns the HMAC of [text] in hexadecimal, as stored in the configuration. */
    public fun hashHex(text: String): String = HexFormat.of().formatHex(hash(text))

    public companion object {
        /** Length of an HMAC in bytes. */
        public const val HASH_BYTES: Int = 32
        private const val ALGORITHM = "HmacSHA256"
    }
}
