package org.celerywalk.key

import org.celerywalk.fleet.AccountDefinition
import java.security.MessageDigest

/** Finds the client account of a key without keeping or logging keys in the clear. */
public class AccountKeys(accounts: List<AccountDefinition>) {
    private val byDigest: Map<String, AccountDefinition> =
        accounts.flatMap { account -> account.keys.map { digest(it) to account } }.toMap()

    /** Returns the account that holds [key], or null. */
    public fun find(key: String): AccountDefinition? = byDigest[digest(key)]

    private fun digest(key: String): String =
        MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }
}
