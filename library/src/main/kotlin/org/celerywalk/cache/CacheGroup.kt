package org.celerywalk.cache

/**
 * Client accounts that share KV cache: one isolated account, or all accounts but the isolated ones.
 *
 * A common group is named after the accounts that it excludes. Whoever uses it belongs to it by the configuration that
 * names it, so none of its cache was made by an account that this configuration isolates. Processes need not agree on a
 * version or remember an earlier one, and an account that becomes isolated leaves what it shared behind.
 *
 * @property value part of the [CacheScope] that is different for each group.
 */
public class CacheGroup private constructor(public val value: String) {
    override fun equals(other: Any?): Boolean = other is CacheGroup && other.value == value

    override fun hashCode(): Int = value.hashCode()

    override fun toString(): String = "CacheGroup($value)"

    public companion object {
        /** Group of all accounts, if none is isolated. */
        public val EVERYONE: CacheGroup = CacheGroup("")

        /** Returns the group of the isolated [account] alone. */
        public fun only(account: String): CacheGroup = CacheGroup("/$account")

        /** Returns the group of all accounts but [isolatedAccounts]. */
        public fun without(isolatedAccounts: Set<String>): CacheGroup =
            // No name of an account follows the version without a slash.
            if (isolatedAccounts.isEmpty()) EVERYONE else CacheGroup("-${nameHash(isolatedAccounts)}")

        private fun nameHash(names: Set<String>) = java.lang.Long.toHexString(hashOfTexts(names.sorted()))
    }
}
