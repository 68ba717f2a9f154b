package org.celerywalk.key

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celerywalk.configuration.Configuration

/**
 * Authenticates requests by their key and determines their client account.
 *
 * @param configuration returns the configuration in force, or null before the first one.
 * @param isWithdrawn returns whether a key id was withdrawn outside the configuration.
 * @param isConfirmed returns whether this process may serve requests with keys now.
 */
public class RequestAuthenticator(
    private val hasher: KeyHasher,
    private val configuration: () -> Configuration?,
    private val isWithdrawn: (String) -> Boolean,
    private val isConfirmed: () -> Boolean,
) {
    // Verifier with the version of the configuration that it was created from.
    @Volatile
    private var cachedVerifier: Pair<Long, KeyVerifier>? = null

    /** Authenticates a request by its header fields and target. The key is returned only for checks of the content. */
    public fun authenticate(
        headers: List<Pair<String, String>>,
        path: String,
        query: String?,
    ): Either<KeyError, AuthenticatedCaller> = presentedKey(headers, path, query).flatMap { key ->
        val verifier = verifier()
        val caller = verifier?.verify(key)
        when {
            verifier == null || !isConfirmed() -> KeyError(KeyProblem.NOT_CONFIRMED).left()
            caller == null || isWithdrawn(caller.keyId) -> KeyError(KeyProblem.INVALID).left()
            else -> AuthenticatedCaller(caller, key).right()
        }
    }

    /** Returns the reason why [caller] may no longer be served, or null if it may. */
    public fun refusalReason(caller: Caller): KeyProblem? = when {
        !isConfirmed() -> KeyProblem.NOT_CONFIRMED
        isWithdrawn(caller.keyId) -> KeyProblem.INVALID
        verifier()?.isStillValid(caller) != true -> KeyProblem.INVALID
        else -> null
    }

    private fun verifier(): KeyVerifier? {
        val configurationInForce = configuration() ?: return null
        val cachedEntry = cachedVerifier?.takeIf { it.first == configurationInForce.version }
        return cachedEntry?.second ?: KeyVerifier(hasher, configurationInForce.security.keys)
            .also { cachedVerifier = configurationInForce.version to it }
    }
}

/** Authenticated caller with the key of its request. */
public data class AuthenticatedCaller(public val caller: Caller, public val key: CallerKey)
