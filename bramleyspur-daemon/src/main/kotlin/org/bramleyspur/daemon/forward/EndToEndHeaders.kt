package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop headers, which apply to a single connection. */
private val HOP_BY_HOP_HEADERS = setOf(
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

/** Copies the headers of [from] to [to], without hop-by-hop headers and those that `Connection` names. */
internal fun copyEndToEnd(from: HttpHeaders, to: HttpHeaders) {
    val connectionOptions = from.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    for (header in from.iteratorCharSequence()) {
        val name = header.key.toString().lowercase()
        if (name !in HOP_BY_HOP_HEADERS && name !in connectionOptions) to.add(header.key, header.value)
    }
}
