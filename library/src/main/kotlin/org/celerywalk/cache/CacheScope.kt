package org.celerywalk.cache

/**
 * Scope within which KV cache may be shared: one version of a model's weights and one group of client accounts.
 *
 * @property value value that endpoints use as part of the cache key.
 */
public data class CacheScope(val value: String) {
    public companion object {
        /** Returns the scope of [model] with weights [version] for the accounts of [group]. */
        public fun of(model: String, version: Int, group: CacheGroup): CacheScope =
            CacheScope("$model/v$version${group.value}")
    }
}
