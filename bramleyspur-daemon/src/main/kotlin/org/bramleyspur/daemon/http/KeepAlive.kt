package org.bramleyspur.daemon.http

import io.netty.handler.codec.http.HttpHeaders

private const val KEEP_ALIVE = "Keep-Alive"
private const val TIMEOUT_PARAMETER = "timeout="
private const val MS_PER_SECOND = 1_000L

/** Subtracted from the declared timeout, since the request must arrive before the connection closes. */
private const val IDLE_TIMEOUT_MARGIN_MS = 500L

/** The idle timeout that a response declares, less a margin; null if it declares none. */
internal fun declaredIdleMs(headers: HttpHeaders): Long? = headers.get(KEEP_ALIVE)
    ?.split(',')
    ?.firstOrNull { it.trim().startsWith(TIMEOUT_PARAMETER) }
    ?.trim()
    ?.removePrefix(TIMEOUT_PARAMETER)
    ?.toLongOrNull()
    ?.let { it * MS_PER_SECOND - IDLE_TIMEOUT_MARGIN_MS }
