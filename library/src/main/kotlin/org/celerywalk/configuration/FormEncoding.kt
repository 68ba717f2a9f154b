package org.celerywalk.configuration

import java.net.URLDecoder
import java.net.URLEncoder

/** Encodes fields as `name=value&name=value`; values are URL-encoded, and names may repeat. */
internal fun formEncode(fields: List<Pair<String, String>>): String =
    fields.joinToString("&") { (name, value) -> "$name=${URLEncoder.encode(value, Charsets.UTF_8)}" }

/** Decodes the result of [formEncode]. */
internal fun formDecode(text: String): List<Pair<String, String>> = text.split('&').filter { it.isNotEmpty() }.map {
    it.substringBefore('=') to URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8)
}
