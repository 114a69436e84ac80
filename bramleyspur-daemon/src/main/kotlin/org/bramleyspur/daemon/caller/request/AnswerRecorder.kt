/*
 * Answers of calls under an idempotency key. The answer is held back until it is recorded; what exceeds the recorded
 * size follows after that.
 */
package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import io.netty.buffer.Unpooled
import org.bramleyspur.daemon.caller.CallerExchange
import org.bramleyspur.daemon.caller.OpenAiAnswer
import org.bramleyspur.daemon.caller.TokenUsage
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Header
import org.bramleyspur.traffic.claim.RecordedAnswer
import org.bramleyspur.traffic.stream.Finish

/** Collects an answer as the bytes that the caller will get. */
internal abstract class AnswerRecorder {
    private val held = Unpooled.buffer()
    private var head: Head? = null
    private var total = 0L
    private var exchange: CallerExchange? = null
    private var complete = false

    /** Whether more has arrived than the control log keeps. */
    val tooLarge: Boolean get() = total > RecordedAnswer.KEPT_BODY_BYTES

    /** Whether the answer is held back, so that it takes no more than the recorded size. */
    val holding: Boolean get() = exchange == null

    /** Takes the token at [position]. */
    open fun token(position: Int, token: String) = Unit

    /** Takes the finish of a generation. */
    abstract fun finish(ending: Finish)

    /** Takes the head of the answer. */
    fun head(head: Head) {
        this.head = head
    }

    /** Takes a part of the body. */
    fun body(data: ByteString) {
        total += data.size()
        val target = exchange
        if (target != null) target.send(wrap(data)) else held.writeBytes(data.asReadOnlyByteBuffer())
    }

    /** The answer as it is to be recorded. */
    fun record(): RecordedAnswer {
        val body = if (tooLarge) {
            null
        } else {
            ByteArray(held.readableBytes()).also {
                held.getBytes(held.readerIndex(), it)
            }
        }
        return RecordedAnswer(head?.status ?: OK, head?.contentType().orEmpty(), body, total)
    }

    /** Sends what was held back, and from now on what follows. */
    fun release(target: CallerExchange) {
        exchange = target
        target.startStream(head?.status ?: OK, head?.pairs().orEmpty())
        if (held.isReadable) target.send(held.retainedDuplicate())
        if (complete) target.endStream()
    }

    /** The answer is complete. */
    protected fun complete() {
        complete = true
        exchange?.endStream()
    }

    private fun wrap(data: ByteString) = Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer())

    private fun Head.contentType() =
        headersList.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value.orEmpty()

    protected companion object {
        const val OK = 200
    }
}

/** Records the answer of a plain service as it is. */
internal class CallRecorder : AnswerRecorder() {
    override fun finish(ending: Finish) = complete()
}

/** Records a generation in the shape that the caller asked for. */
internal class GenerationRecorder(private val answer: OpenAiAnswer, private val stream: Boolean) : AnswerRecorder() {
    private val text = StringBuilder()

    init {
        val type = if (stream) "text/event-stream; charset=utf-8" else "application/json"
        val field = Header.newBuilder().setName("Content-Type").setValue(type)
        head(Head.newBuilder().setStatus(OK).addHeaders(field).build())
    }

    override fun token(position: Int, token: String) {
        if (stream) body(ByteString.copyFromUtf8(answer.tokenEvent(position, token))) else text.append(token)
    }

    override fun finish(ending: Finish) {
        val reason = ending.finishReason
        if (reason != null) {
            val usage = TokenUsage(ending.promptTokens, ending.completionTokens)
            val last = if (stream) answer.finishEvents(reason, usage) else answer.whole(text.toString(), reason, usage)
            body(ByteString.copyFromUtf8(last))
        }
        complete()
    }
}
