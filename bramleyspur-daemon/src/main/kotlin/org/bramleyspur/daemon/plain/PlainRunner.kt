/*
 * Calls to a plain backend server. Headers and body are streamed in both directions in bounded memory.
 */
package org.bramleyspur.daemon.plain

import com.google.protobuf.ByteString
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.entry.BackendAttempt
import org.bramleyspur.daemon.entry.BackendListener
import org.bramleyspur.daemon.entry.BackendRun
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpCallStarter
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.daemon.http.ResponseFraming
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Header
import org.bramleyspur.traffic.admission.RefusalReason

/** Hop-by-hop headers, which apply only to the connection to the backend server. */
private val HOP_BY_HOP_HEADERS = setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade")

/** Runs attempts on a plain backend server; [run] is a [BackendRunner][org.bramleyspur.daemon.entry.BackendRunner]. */
class PlainRunner(private val address: Address, private val http: HttpCallStarter) {
    /** Starts [attempt] on the backend server. */
    fun run(attempt: BackendAttempt, listener: BackendListener): BackendRun {
        val start = attempt.start
        val head = headOf(attempt)
        val body = if (start.bodyComplete) Unpooled.wrappedBuffer(start.body.asReadOnlyByteBuffer()) else null
        return PlainRun(http(head, body, !start.idempotent, ResponseForwarder(start.method, listener)))
    }

    private fun headOf(attempt: BackendAttempt): HttpRequest {
        val start = attempt.start
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(start.method), start.path)
        start.headersList.forEach { head.headers().add(it.name, it.value) }
        head.headers().set(HttpHeaderNames.HOST, address.toString())
        head.headers().set("X-Request-Id", attempt.id)
        head.headers().set("X-Timeout-Ms", attempt.timeoutMs)
        if (attempt.traceparent.isNotEmpty()) head.headers().set("traceparent", attempt.traceparent)
        if (start.bodyComplete && start.body.isEmpty && !head.method().mayHaveBody()) return head
        if (start.bodyComplete) {
            head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, start.body.size())
        } else if (!head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        return head
    }

    /** Whether backend servers may expect a body, so that an empty one is declared with `Content-Length: 0`. */
    private fun HttpMethod.mayHaveBody() = this == HttpMethod.POST || this == HttpMethod.PUT || this == HttpMethod.PATCH

    private class PlainRun(private val call: HttpCall) : BackendRun {
        override val bodyWritable get() = call.writable

        override fun sendBody(data: ByteString, last: Boolean) =
            call.send(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer()), last)

        override fun pauseReading(paused: Boolean) = call.pauseReading(paused)

        override fun cancel() = call.cancel()
    }

    private inner class ResponseForwarder(private val method: String, private val listener: BackendListener) :
        HttpListener {
        private var begun = false
        private var framing: ResponseFraming? = null

        override fun onHead(status: Int, headers: HttpHeaders) {
            reportBegun()
            framing = ResponseFraming(method, status, headers)
            val fields = headers
                .filter { it.key.lowercase() !in HOP_BY_HOP_HEADERS }
                .map { Header.newBuilder().setName(it.key).setValue(it.value).build() }
            listener.onHead(Head.newBuilder().setStatus(status).addAllHeaders(fields).build())
        }

        override fun onData(data: ByteBuf) {
            framing?.onData()
            listener.onBody(ByteString.copyFrom(data.nioBuffer()), false)
        }

        override fun onEnd() = if (framing?.maybeCut == true) {
            listener.onBroken("$address closed the connection after the head of its answer", false)
        } else {
            listener.onBody(ByteString.EMPTY, true)
        }

        override fun onFailure(failure: HttpFailure, message: String) = when (failure) {
            HttpFailure.NOT_SENT -> listener.onNotBegun(RefusalReason.NOT_SERVING, message)
            HttpFailure.BROKEN, HttpFailure.UNATTRIBUTED -> listener.onBroken(message, false)
        }

        override fun onWritable(writable: Boolean) {
            reportBegun()
            if (writable) listener.onBodyWritable()
        }

        private fun reportBegun() {
            if (begun) return
            begun = true
            listener.onBegun()
        }
    }
}
