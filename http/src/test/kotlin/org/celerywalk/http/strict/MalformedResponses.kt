package org.celerywalk.http.strict

/** Responses that are none in HTTP/1.1, and sound ones that are unusual, for the tests of all clients. */
public object MalformedResponses {
    /** Returns malformed responses with the content [body] and further header [fields], one for each fault. */
    public fun all(body: String, fields: List<String> = emptyList()): List<String> =
        templates.map { it.fill(body, fields) }

    /** Returns sound responses with the content [body] and further header [fields]. */
    public fun sound(body: String, fields: List<String> = emptyList()): List<String> =
        soundTemplates.map { it.fill(body, fields) }

    /** Returns interim responses with further header [fields] that no final response follows. */
    public fun interimOnly(fields: List<String> = emptyList()): List<String> = interimStatuses.flatMap { status ->
        listOf("", "Content-Length: 0\r\n").map { "HTTP/1.1 $status OK\r\n{FIELDS}$it\r\n".fill("", fields) }
    }

    private fun String.fill(body: String, fields: List<String>): String =
        replace("{FIELDS}", fields.joinToString("") { "$it\r\n" })
            .replace("{LENGTH}", "${body.length}")
            .replace("{SIZE}", body.length.toString(radix = 16))
            .replace("{BODY}", body)

    private const val STATUS = "HTTP/1.1 200 OK\r\n{FIELDS}"
    private const val LENGTH = "Content-Length: {LENGTH}\r\n\r\n{BODY}"
    private const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
    private const val CHUNKS = "{SIZE}\r\n{BODY}\r\n0\r\n\r\n"

    private val statusLines = listOf(
        "http/1.1 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/01.1 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 -01 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20x OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\u0001K",
        "HTTP/1.1 200 O\rK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "ICY 200 OK",
        "200 OK",
    ).map { "$it\r\n{FIELDS}$LENGTH" }

    private val lines = listOf(
        "Content-Length; {LENGTH}",
        "Content-Length : {LENGTH}",
        "Content-Length\t: {LENGTH}",
        ": {LENGTH}",
        "X A: b",
        "X\u00e9: b",
        "X(a): b",
        "X\u0000a: b",
        "X\"a: b",
        " X-A: b",
        "X-A: b\r\n folded",
        "X-A",
        "X-A: b\u0000c",
        "X-A: b\u0001c",
        "X-A: b\u007fc",
        "X-A: b\rc",
        "X-A: b\nX-B: c",
        "X-A: b\r",
        "X-A: ${"a".repeat(40_000)}",
    ).map { "$STATUS$it\r\n$LENGTH" }

    private val lineEnds = listOf(
        "HTTP/1.1 200 OK\n{FIELDS}$LENGTH",
        "${STATUS}Content-Length: {LENGTH}\n\n{BODY}",
        "${STATUS}Content-Length: {LENGTH}\r\n\n{BODY}",
    )

    private val lengths = listOf(
        "Content-Length: {LENGTH}\r\nContent-Length: {LENGTH}",
        "Content-Length: {LENGTH}\r\nContent-Length: 1",
        "Content-Length: {LENGTH}, {LENGTH}",
        "Content-Length: +{LENGTH}",
        "Content-Length: -{LENGTH}",
        "Content-Length:",
        "Content-Length: 0x{SIZE}",
        "Content-Length: {LENGTH} 1",
        "Content-Length: {LENGTH}.0",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding:",
        "Transfer-Encoding: xchunked",
    ).map { "$STATUS$it\r\n\r\n{BODY}" }

    private val codings = listOf(
        "Content-Length: {LENGTH}\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: {LENGTH}",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ).map { "$STATUS$it\r\n\r\n$CHUNKS" }

    private val chunks = listOf(
        "{SIZE} \r\n{BODY}\r\n0\r\n\r\n",
        " {SIZE}\r\n{BODY}\r\n0\r\n\r\n",
        "{SIZE}\n{BODY}\r\n0\r\n\r\n",
        "{SIZE}\r\n{BODY}\n0\r\n\r\n",
        "{SIZE}\r\n{BODY}XX\r\n0\r\n\r\n",
        "{SIZE}\r\n{BODY}0\r\n\r\n",
        "g\r\n{BODY}\r\n0\r\n\r\n",
        "\r\n{BODY}\r\n0\r\n\r\n",
        "-{SIZE}\r\n{BODY}\r\n0\r\n\r\n",
        "0x{SIZE}\r\n{BODY}\r\n0\r\n\r\n",
        "FFFFFFFFFFFFFFFFF\r\n{BODY}\r\n0\r\n\r\n",
        "{SIZE};a=\u0001\r\n{BODY}\r\n0\r\n\r\n",
        "{SIZE}\r\n{BODY}\r\n0\r\nX-T t\r\n\r\n",
        "{SIZE}\r\n{BODY}\r\n0\r\n: t\r\n\r\n",
        "{SIZE}\r\n{BODY}\r\n0\r\nX T: t\r\n\r\n",
    ).map { "$STATUS$CHUNKED$it" }

    private val interimStatuses = listOf(100, 102, 103, 199)

    private val statusesWithoutBody = listOf(
        "HTTP/1.0 200 OK\r\n{FIELDS}$CHUNKED$CHUNKS",
        "HTTP/1.1 204 None\r\n{FIELDS}$CHUNKED$CHUNKS",
        "HTTP/1.1 204 None\r\n{FIELDS}$LENGTH",
        "HTTP/1.1 304 None\r\n{FIELDS}$CHUNKED$CHUNKS",
        "HTTP/1.1 103 Early\r\n{FIELDS}$LENGTH${STATUS}Content-Length: 0\r\n\r\n",
    ) + interimStatuses.flatMap { status ->
        listOf("\r\n{BODY}", LENGTH, "$CHUNKED$CHUNKS").map { "HTTP/1.1 $status OK\r\n{FIELDS}$it" }
    }

    private val templates = statusLines + lines + lineEnds + lengths + codings + chunks + statusesWithoutBody

    private val soundTemplates = listOf(
        "$STATUS$LENGTH",
        "HTTP/1.1 200 \r\n{FIELDS}$LENGTH",
        "HTTP/1.0 200 OK\r\n{FIELDS}$LENGTH",
        "$STATUS\r\n{BODY}",
        "${STATUS}Transfer-Encoding: Chunked\r\n\r\n$CHUNKS",
        "$STATUS$CHUNKED{SIZE};a=b\r\n{BODY}\r\n000;c=\"d\"\r\nX-T: t\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n$STATUS$LENGTH",
        "${STATUS}X-A: \t b \t\r\nX-B:\r\nX-C: \u00e9\r\n$LENGTH",
        "$STATUS${LENGTH}surplus",
    )
}
