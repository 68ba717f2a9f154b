package org.celerywalk.key

import org.celerywalk.fleet.AccountDefinition
import java.security.MessageDigest

/** Looks up client accounts by key. It keeps only SHA-256 digests of the keys and logs no key. */
public class AccountKeys(accounts: List<AccountDefinition>) {
    private val byDigest: Map<String, AccountDefinition> =
        accounts.flatMap { account -> account.keys.map { digest(it) to account } }.toMap()

    /** Returns the account that [key] belongs to, or null if it is unknown. */
    public fun find(key: String): AccountDefinition? = byDigest[digest(key)]

    private fun digest(key: String): String =
        MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }
}
