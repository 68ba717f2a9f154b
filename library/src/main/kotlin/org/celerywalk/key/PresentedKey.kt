package org.celerywalk.key

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.net.URLDecoder

private const val BEARER_PREFIX = "bearer "
private val KEY_HEADERS = setOf("authorization", "x-api-key")
private val KEY_PARAMETERS = setOf("key", "api_key", "api-key", "apikey", "x-api-key", "access_token", "authorization")

/**
 * Returns the key of a request, or an error unless the request has exactly one well-formed key in its headers.
 *
 * @param headers all header fields, with names in any case; a repeated field has one element per occurrence.
 * @param path raw path of the request target.
 * @param query raw query string, or null if there is none.
 */
public fun presentedKey(
    headers: List<Pair<String, String>>,
    path: String,
    query: String?,
): Either<KeyError, CallerKey> {
    val keyHeaders = headers.filter { (name, _) -> name.lowercase() in KEY_HEADERS }
    val key = keyHeaders.singleOrNull()?.let { (name, value) -> keyText(name, value) }?.let(CallerKey::parse)
    return when {
        targetHasKey(path, query) -> KeyError(KeyProblem.IN_TARGET).left()
        keyHeaders.isEmpty() -> KeyError(KeyProblem.MISSING).left()
        keyHeaders.size > 1 -> KeyError(KeyProblem.SEVERAL).left()
        key == null -> KeyError(KeyProblem.INVALID).left()
        else -> key.right()
    }
}

/** Whether the request target contains a key or a query parameter whose name denotes a key. */
public fun targetHasKey(path: String, query: String?): Boolean {
    val parameterNames = query.orEmpty().split('&').map { urlDecoded(it.substringBefore('=')).lowercase() }
    return parameterNames.any { it in KEY_PARAMETERS } ||
        CallerKey.isPresentIn(urlDecoded(path)) ||
        CallerKey.isPresentIn(urlDecoded(query.orEmpty()))
}

private fun keyText(name: String, value: String): String? = when {
    name.equals("x-api-key", ignoreCase = true) -> value.trim()
    value.startsWith(BEARER_PREFIX, ignoreCase = true) -> value.drop(BEARER_PREFIX.length).trim()
    else -> null
}

// Text that is not valid URL encoding is searched without decoding.
private fun urlDecoded(text: String): String = try {
    URLDecoder.decode(text, Charsets.UTF_8)
} catch (_: IllegalArgumentException) {
    text
}
