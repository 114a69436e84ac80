package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes the responses of a connection that carries one request at a time. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** Method of the request that awaits its response. */
    var requestMethod: HttpMethod = HttpMethod.GET

    /** Whether bytes were received that are not decoded yet; after a complete response, they belong to no request. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    private val fieldNames = FieldNameCheck()

    /** Number of bytes of the head that were checked and are not decoded yet. */
    private var checkedBytes = 0

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (fieldNames.inHead) checkFieldNames(input)
        if (fieldNames.malformed) return rejectHead(input, output)
        val start = input.readerIndex()
        super.decode(context, input, output)
        checkedBytes = maxOf(0, checkedBytes - (input.readerIndex() - start))
        if (output.lastOrNull() is LastHttpContent) fieldNames.reset()
    }

    private fun checkFieldNames(input: ByteBuf) {
        val start = input.readerIndex() + checkedBytes
        val end = input.forEachByte(start, input.writerIndex() - start, fieldNames)
        checkedBytes = (if (end < 0) input.writerIndex() else end + 1) - input.readerIndex()
    }

    private fun rejectHead(input: ByteBuf, output: MutableList<Any>) {
        input.skipBytes(input.readableBytes())
        val message = createInvalidMessage()
        message.decoderResult = DecoderResult.failure(IllegalArgumentException("malformed field name"))
        output += message
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val version = initialLine[VERSION_INDEX]
        val status = initialLine[STATUS_INDEX]
        // The superclass accepts other versions of HTTP, and any integer as the status code.
        require(VERSION.matches(version)) { "unsupported version '$version'" }
        require(STATUS_CODE.matches(status)) { "invalid status code '$status'" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Positions in the status line. */
        const val VERSION_INDEX = 0
        const val STATUS_INDEX = 1

        val VERSION = Regex("HTTP/1\\.[0-9]")
        val STATUS_CODE = Regex("[1-9][0-9]{2}")
    }
}
