package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.bramleyspur.daemon.http.fullResponse
import java.util.Locale

/**
 * The response to one request of a caller.
 *
 * @property keepAlive whether the connection stays open for further requests
 * @property closesConnections whether the entry closes its connections after their responses
 * @property onWritten called with the bytes of each part of a body that was written
 * @property onSent called when the caller's network connection has taken the whole response
 */
internal class ConnectionResponse(
    private val channel: Channel,
    var keepAlive: Boolean,
    private val closesConnections: () -> Boolean,
    private val onWritten: (bytes: Int) -> Unit,
    private val onSent: () -> Unit,
) : CallerResponse {
    /** Whether a part of the response was written. */
    var begun = false
        private set

    /** Whether the whole response was written, or broken off. */
    var ended = false
        private set

    /** Whether the network connection has taken the whole response. */
    var sent = false
        private set

    override val writable: Boolean get() = channel.isWritable

    override fun refuse(status: Int, text: String, retryAfterMs: Long?) {
        val body = "$text\n".encodeToByteArray()
        val response = fullResponse(HttpResponseStatus.valueOf(status), body, TEXT_CONTENT_TYPE)
        retryAfterMs?.let {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MS_PER_SECOND))
        }
        setConnection(response.headers())
        begun = true
        end(channel.writeAndFlush(response))
    }

    override fun begin(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        setConnection(headers)
        begun = true
        channel.write(response)
    }

    private fun setConnection(headers: HttpHeaders) {
        if (closesConnections()) keepAlive = false
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    override fun write(data: ByteBuf) {
        val bytes = data.readableBytes()
        channel.writeAndFlush(DefaultHttpContent(data))
        onWritten(bytes)
    }

    override fun finish() = end(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

    override fun abort() {
        keepAlive = false
        ended = true
        sent = true
        channel.close()
    }

    private fun end(written: ChannelFuture) {
        ended = true
        written.addListener {
            sent = true
            if (keepAlive) onSent() else channel.close()
        }
    }

    private companion object {
        const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
        const val MS_PER_SECOND = 1_000.0
    }
}
