/*
 * Values of the headers of forwarded requests and of their responses. A malformed value counts as absent.
 */
package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.traffic.forward.ResponseHead
import org.bramleyspur.traffic.forward.retryAfterMs
import java.time.Instant

/** Prompt tokens and maximum output tokens of a request; 0 for each one that is absent. */
internal fun tokenCountsOf(header: String?): TokenCounts {
    val counts = header?.split(',')?.map { it.trim().toLongOrNull()?.coerceAtLeast(0) ?: 0 }.orEmpty()
    return TokenCounts(counts.getOrElse(0) { 0 }, counts.getOrElse(1) { 0 })
}

/** Number of running and queued requests in a load report; null when it is absent or malformed. */
internal fun runningRequestsOf(load: String?): Int? {
    val numbers = load?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    return if (numbers.size >= 2) numbers[0] + numbers[1] else null
}

/** Delay in milliseconds after which a refused request may be sent again; null if the response names none. */
internal fun retryAfterMs(headers: HttpHeaders): Long? =
    retryAfterMs(headers.getAll(HttpHeaderNames.RETRY_AFTER), Instant.now())

/** Whether a response says that its backend server is leaving. */
internal fun saysLeaving(headers: HttpHeaders, names: ForwardHeaders): Boolean =
    headers.getAll(names.leaving).any { it.trim() == "1" }

/** The facts of a response's head that decide on its use; callers do not accept an encoded body. */
internal fun responseHeadOf(status: Int, headers: HttpHeaders, names: ForwardHeaders) = ResponseHead(
    status,
    notExecuted = headers.contains(names.notExecuted),
    sealed = headers.contains(names.seal),
    eventStream = headers.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith(EVENT_STREAM, ignoreCase = true) != false &&
        headers.get(HttpHeaderNames.CONTENT_ENCODING)?.let { HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(it) } !=
        false,
)

private const val EVENT_STREAM = "text/event-stream"
