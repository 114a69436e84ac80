/*
 * Recording of responses to calls with an idempotency key. A response is buffered until it is recorded; the part that
 * exceeds the recorded size is sent afterwards.
 */
package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import io.netty.buffer.Unpooled
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.OpenAiResponseFormatter
import org.bramleyspur.daemon.caller.TokenUsage
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Header
import org.bramleyspur.traffic.claim.RecordedAnswer
import org.bramleyspur.traffic.stream.Finish

/** Collects a response in the encoding that is sent to the caller. */
internal abstract class ResponseRecorder {
    private val bufferedBody = Unpooled.buffer()
    private var head: Head? = null
    private var totalBytes = 0L
    private var exchange: CallerExchange? = null
    private var isComplete = false

    /** Whether the body exceeds the size that the control log stores. */
    val exceedsRecordLimit: Boolean get() = totalBytes > RecordedAnswer.KEPT_BODY_BYTES

    /** Whether the response is still buffered, so that only the recorded size is accepted. */
    val isBuffering: Boolean get() = exchange == null

    /** Handles the token at [position]. */
    open fun token(position: Int, token: String) = Unit

    /** Handles the end of a generation or call. */
    abstract fun finish(ending: Finish)

    /** Sets the status and headers of the response. */
    fun head(head: Head) {
        this.head = head
    }

    /** Handles a part of the body. */
    fun body(data: ByteString) {
        totalBytes += data.size()
        val target = exchange
        if (target != null) target.send(wrap(data)) else bufferedBody.writeBytes(data.asReadOnlyByteBuffer())
    }

    /** The response to record; without a body if that exceeds the size limit. */
    fun record(): RecordedAnswer {
        val body = if (exceedsRecordLimit) {
            null
        } else {
            ByteArray(bufferedBody.readableBytes()).also {
                bufferedBody.getBytes(bufferedBody.readerIndex(), it)
            }
        }
        return RecordedAnswer(head?.status ?: OK, head?.contentType().orEmpty(), body, totalBytes)
    }

    /** Sends the buffered response to [target] and forwards further parts directly. */
    fun forwardTo(target: CallerExchange) {
        exchange = target
        target.startStream(head?.status ?: OK, head?.headerPairs().orEmpty())
        if (bufferedBody.isReadable) target.send(bufferedBody.retainedDuplicate())
        if (isComplete) target.endStream()
    }

    /** Marks the response as complete. */
    protected fun markComplete() {
        isComplete = true
        exchange?.endStream()
    }

    private fun wrap(data: ByteString) = Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer())

    private fun Head.contentType() =
        headersList.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value.orEmpty()

    protected companion object {
        const val OK = 200
    }
}

/** Records the response of a plain service unchanged. */
internal class PlainCallRecorder : ResponseRecorder() {
    override fun finish(ending: Finish) = markComplete()
}

/** Records a generation in the format that the caller requested. */
internal class GenerationRecorder(private val formatter: OpenAiResponseFormatter, private val stream: Boolean) :
    ResponseRecorder() {
    private val text = StringBuilder()

    init {
        val type = if (stream) "text/event-stream; charset=utf-8" else "application/json"
        val field = Header.newBuilder().setName("Content-Type").setValue(type)
        head(Head.newBuilder().setStatus(OK).addHeaders(field).build())
    }

    override fun token(position: Int, token: String) {
        if (stream) body(ByteString.copyFromUtf8(formatter.tokenEvent(position, token))) else text.append(token)
    }

    override fun finish(ending: Finish) {
        val reason = ending.finishReason
        if (reason != null) {
            val usage = TokenUsage(ending.promptTokens, ending.completionTokens)
            val finalPart =
                if (stream) formatter.finishEvents(reason, usage) else formatter.toJson(text.toString(), reason, usage)
            body(ByteString.copyFromUtf8(finalPart))
        }
        markComplete()
    }
}
