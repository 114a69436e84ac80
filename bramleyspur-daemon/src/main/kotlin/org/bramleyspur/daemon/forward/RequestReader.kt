/*
 * Reads the requests of a caller's connection within the limits of the configuration. A limit that is lowered applies
 * to requests that begin afterwards, since a caller cannot take back what it has sent; a raised one applies at once.
 */
package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.bramleyspur.core.document.ClientLimits
import java.io.ByteArrayOutputStream

/** What follows a part of a request. */
internal sealed interface ReadStep {
    data object Incomplete : ReadStep

    /** The caller waits for a 100 response before it sends the body. */
    data object ContinueExpected : ReadStep

    class Whole(val head: HttpRequest, val body: ByteArray) : ReadStep

    class Refused(val status: HttpResponseStatus, val text: String) : ReadStep
}

/** Reads one request after the other. */
internal class RequestReader(
    private val limitsInForce: () -> ClientLimits,
    private val nowMs: () -> Long,
    private val takesBody: (bytes: Long) -> Boolean = { true },
) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var startedAtMs: Long? = null
    private var limitsAtStart = limitsInForce()
    private var undecodedBytes = 0L

    private val limits: ClientLimits get() = limitsInForce().orMoreGenerous(limitsAtStart)

    /** Bytes of the body that is being read. */
    val bodyBytes: Int get() = body.size()

    /** Whether a part of a request was read. */
    val started: Boolean get() = startedAtMs != null

    /** Whether the request takes longer to arrive than allowed. */
    val overdue: Boolean get() = startedAtMs?.let { nowMs() - it > limits.headerTimeoutMs } ?: false

    /** Whether the bytes without a decoded message cannot be the beginning of a head within the limit. */
    val headTooLong: Boolean
        get() = undecodedBytes > MAX_HEAD_OVERHEAD_FACTOR * limits.maxHeaderBytes + MAX_REQUEST_LINE_BYTES

    /** Records [count] bytes that have arrived; they begin a request if [awaited]. */
    fun onBytes(count: Int, awaited: Boolean) {
        undecodedBytes += count
        if (awaited && !started) begin()
    }

    /** Records that the bytes were decoded up to a message. */
    fun onDecoded() {
        undecodedBytes = 0
    }

    private fun begin() {
        startedAtMs = nowMs()
        limitsAtStart = limitsInForce()
    }

    /** Reads the next part of a request. */
    fun read(message: HttpObject): ReadStep {
        var step: ReadStep = ReadStep.Incomplete
        if (message is HttpRequest) step = readHead(message)
        if (message is HttpContent && head != null && step !is ReadStep.Refused) {
            val contentStep = readContent(message)
            if (contentStep != ReadStep.Incomplete) step = contentStep
        }
        return step
    }

    private fun readHead(request: HttpRequest): ReadStep {
        if (!started) begin()
        // The time limit for the body begins with the end of the head.
        startedAtMs = nowMs()
        head = request
        body = ByteArrayOutputStream()
        return when {
            maxOf(request.uri().length, headerBytes(request)) > limits.maxHeaderBytes -> refused(HEAD_TOO_LARGE)
            HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes -> refused(BODY_TOO_LARGE)
            !takesBody(HttpUtil.getContentLength(request, 0L)) -> refused(NO_ROOM)
            HttpUtil.is100ContinueExpected(request) -> ReadStep.ContinueExpected
            else -> ReadStep.Incomplete
        }
    }

    private fun headerBytes(request: HttpRequest): Int {
        var bytes = 0
        for (header in request.headers().iteratorCharSequence()) bytes += header.key.length + 1 + header.value.length
        return bytes
    }

    private fun readContent(content: HttpContent): ReadStep {
        val data = content.content()
        if (body.size() + data.readableBytes() > limits.maxBodyBytes) return refused(BODY_TOO_LARGE)
        if (!takesBody(data.readableBytes().toLong())) return refused(NO_ROOM)
        data.readBytes(body, data.readableBytes())
        val request = head
        if (content !is LastHttpContent || request == null) return ReadStep.Incomplete
        val bytes = body.toByteArray()
        reset()
        return ReadStep.Whole(request, bytes)
    }

    private fun refused(step: ReadStep.Refused): ReadStep.Refused = step.also { reset() }

    /** Discards what was read of a request. */
    fun reset() {
        head = null
        startedAtMs = null
        body = ByteArrayOutputStream()
    }

    private companion object {
        /** Line ends are not counted in the size of the header fields, and take up to two thirds of the bytes. */
        const val MAX_HEAD_OVERHEAD_FACTOR = 3L
        const val MAX_REQUEST_LINE_BYTES = 8 * 1024L
        val NO_ROOM = ReadStep.Refused(
            HttpResponseStatus.SERVICE_UNAVAILABLE,
            "not run: this entry holds as many bytes for callers as it may; send it again",
        )
        val BODY_TOO_LARGE =
            ReadStep.Refused(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is larger than the limit")
    }
}

internal val HEAD_TOO_LARGE =
    ReadStep.Refused(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head of the request is too large")

/** For each limit the more generous one of both. */
internal fun ClientLimits.orMoreGenerous(other: ClientLimits) = ClientLimits(
    maxOf(maxHeaderBytes, other.maxHeaderBytes),
    maxOf(maxBodyBytes, other.maxBodyBytes),
    maxOf(headerTimeoutMs, other.headerTimeoutMs),
    maxOf(idleTimeoutMs, other.idleTimeoutMs),
)
