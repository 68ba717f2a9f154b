package org.celerywalk.cache

/** Part of a prompt, of [tokens] tokens, that several requests may share under the same [id]. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * Scope within which KV cache may be shared: one version of a model's weights, and for an isolated account only itself.
 *
 * @property text value that endpoints use as part of the cache key.
 */
public data class CacheScope(val text: String) {
    public companion object {
        /** Returns the scope of [model] with weights [version], only for [account] if it is not null. */
        public fun of(model: String, version: Int, account: String?): CacheScope =
            CacheScope(listOfNotNull(model, "v$version", account).joinToString("/"))
    }
}
