package org.celerywalk.key

/** Request header fields that are forwarded to plain services; all other fields are removed at the entry. */
public val FORWARDED_HEADERS: Set<String> =
    setOf("accept", "accept-language", "content-type", "if-match", "if-none-match")

/** Response header fields of plain services that are returned to callers; all other fields are removed. */
public val RETURNED_HEADERS: Set<String> =
    setOf("cache-control", "content-language", "content-type", "etag", "last-modified", "location")

/** Returns the fields of [headers] whose lower-case names are in [allowed], with their names in lower case. */
public fun allowedHeaders(headers: List<Pair<String, String>>, allowed: Set<String>): List<Pair<String, String>> =
    headers.map { (name, value) -> name.lowercase() to value }.filter { (name, _) -> name in allowed }
