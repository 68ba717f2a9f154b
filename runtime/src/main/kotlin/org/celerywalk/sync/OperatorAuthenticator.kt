package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.OperatorEntry
import org.celerywalk.configuration.Team
import java.security.MessageDigest

/**
 * Authenticates operators by their tokens.
 *
 * @param hash computes the keyed hash of a token, hexadecimal.
 * @param bootstrapToken token that permits the first change of an empty table; null if there is none.
 */
public class OperatorAuthenticator(private val hash: (String) -> String, private val bootstrapToken: String?) {
    /** Returns the keyed hash of [token], hexadecimal. */
    public fun hashOf(token: String): String = hash(token)

    /** Returns true if [token] is the bootstrap token; compares in constant time. */
    public fun isBootstrapToken(token: String): Boolean =
        bootstrapToken != null && MessageDigest.isEqual(hash(bootstrapToken).toByteArray(), hash(token).toByteArray())

    /** Returns the operator whose token is [token], null if there is none. */
    public fun operator(configuration: Configuration?, token: String): OperatorEntry? {
        val tokenHash = hash(token).toByteArray()
        return configuration?.security?.operators?.find { MessageDigest.isEqual(it.tokenHash.toByteArray(), tokenHash) }
    }

    /** Returns true if [token] permits reads: that of any operator, or the bootstrap token before the first change. */
    public fun canRead(configuration: Configuration?, token: String): Boolean =
        operator(configuration, token) != null || configuration == null && isBootstrapToken(token)

    /** Returns the operator whose token is [token] if it belongs to the security team, else null. */
    public fun securityOperator(configuration: Configuration?, token: String): OperatorEntry? =
        operator(configuration, token)?.takeIf { it.team == Team.SECURITY }
}
