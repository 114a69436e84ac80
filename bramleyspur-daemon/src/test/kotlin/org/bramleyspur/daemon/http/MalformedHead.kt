package org.bramleyspur.daemon.http

import kotlinx.serialization.json.Json

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
    "HTTP/2.0 200 OK",
    "http/1.1 200 OK",
    "RTSP/1.0 200 OK",
)

/** Lines whose field name has a blank or a control character, and others without a valid name. */
private val malformedFields = listOf(
    "X Note: a",
    "X\tNote: a",
    "X-Note : a",
    "X-Note\t: a",
    " X-Note: a",
    "\tX-Note: a",
    "Content-Length x: 2",
    "Content-Length\t: 2",
    "Transfer-Encoding x: chunked",
    "X\u0000Note: a",
    "X-Note\u0001: a",
    "\u0002X-Note: a",
    "X\u000bNote: a",
    "X\u000cNote: a",
    "X\rNote: a",
    "X\u001bNote: a",
    "X-Note\u007f: a",
    "X-Note",
    "X Note",
    ": a",
    "X(Note): a",
    "X-N\u00f6te: a",
)

internal val MALFORMED_HEADS =
    malformedStatusLines.map { MalformedHead("status line '$it'", statusLine = it) } +
        malformedFields.map { MalformedHead("field ${Json.encodeToString(it)}", field = it) }
