package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only. */
private val HOP_BY_HOP = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** Copies all headers of [from] to [to] except those that concern one connection. */
internal fun copyEndToEnd(from: HttpHeaders, to: HttpHeaders) {
    val named = from.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    for (entry in from.iteratorCharSequence()) {
        val name = entry.key.toString().lowercase()
        if (name !in HOP_BY_HOP && name !in named) to.add(entry.key, entry.value)
    }
}
