package org.celerywalk.cache

/** Names a part of a prompt that requests may share. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * Separates KV cache that must not be mixed: of different weights, and of an isolated account from all others.
 *
 * @property text value under which endpoints keep the parts.
 */
public data class CacheScope(val text: String) {
    public companion object {
        /** Scope of [model] with weights [version], and of [account] alone if it is not null. */
        public fun of(model: String, version: Int, account: String?): CacheScope =
            CacheScope(listOfNotNull(model, "v$version", account).joinToString("/"))
    }
}
