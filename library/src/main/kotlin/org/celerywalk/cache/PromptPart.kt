package org.celerywalk.cache

/** Part of a prompt, [tokens] tokens long. Requests whose prompts contain the same part give it the same [id]. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * Scope within which KV cache may be shared: one version of a model's weights, and for an isolated account only itself.
 *
 * @property value value that endpoints use as part of the cache key.
 */
public data class CacheScope(val value: String) {
    public companion object {
        /** Returns the scope of [model] with weights [version], only for [account] if it is not null. */
        public fun of(model: String, version: Int, account: String?): CacheScope =
            CacheScope(listOfNotNull(model, "v$version", account).joinToString("/"))
    }
}
