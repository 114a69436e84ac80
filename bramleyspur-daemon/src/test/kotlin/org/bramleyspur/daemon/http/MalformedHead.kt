package org.bramleyspur.daemon.http

/** A response head that is not HTTP/1.1 in [statusLine] or in the line of [field]. */
internal class MalformedHead(
    val name: String,
    private val statusLine: String = "HTTP/1.1 200 OK",
    private val field: String = "X-Note: a",
) {
    /** A response with this head, the lines [fields], and [body], whose length is given by default. */
    fun response(body: String, fields: String = "", framing: String = "Content-Length: ${body.length}\r\n") =
        "$statusLine\r\n$fields$field\r\n$framing\r\n$body"
}

private val malformedStatusLines = listOf(
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 0x2 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
)

internal val MALFORMED_HEADS = malformedStatusLines.map { MalformedHead("status line '$it'", statusLine = it) }
