/*
 * One generation: a request with a timer that emits a token to a sink at each decode interval.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Request headers that control scheduling. */
internal data class CallHeaders(
    val attempt: String,
    val priority: Int = 0,
    val timeoutMs: Long? = null,
    val replica: String? = null,
    val fencingNumber: Long? = null,
)

/** Destination of the tokens of a generation. */
internal interface TokenSink {
    /** Whether the connection accepts another token without buffering too much. */
    val writable: Boolean

    /** Sends one token. */
    fun token(position: Int, text: String)

    /** Sends the end of the response. */
    fun finish(position: Int, reason: String, usage: Usage)

    /** Aborts the response without its end marker. */
    fun abort()

    /** Refuses the request, which has not begun. */
    fun refuse(refusal: EngineRefusal)
}

/** A request in the queue or in a slot. Must be called on [eventLoop] only. */
internal class Generation(
    val call: CallHeaders,
    val request: CompletionRequest,
    val sink: TokenSink,
    private val tokens: TokenFunction,
    private val length: Int,
    private val eventLoop: EventLoop,
) {
    /** Time by [System.nanoTime] after which the request must not begin; null without a deadline. */
    val deadlineNanos: Long? = call.timeoutMs?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }

    private var position = request.resume?.position ?: 0
    private var dueNanos = 0L
    private var timer: Future<*>? = null

    /** Whether the tokens that the request resumes from are those that this engine would have generated. */
    fun resumesExactly(): Boolean =
        request.resume?.tokens.orEmpty().withIndex().all { (i, text) -> text == tokens.token(i) }

    /** Emits the first token after [prefillNanos] and an interval, and each later one after another interval. */
    fun start(prefillNanos: Long, intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
        dueNanos = System.nanoTime() + prefillNanos
        schedule(intervalNanos, onToken, onEnd)
    }

    /** Stops the timer, so that nothing more is sent. */
    fun stop() {
        timer?.cancel(false)
    }

    private fun schedule(intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
        val now = System.nanoTime()
        val interval = intervalNanos()
        // After a pause of the process the stream continues at its normal rate instead of catching up in one burst.
        dueNanos = maxOf(dueNanos + interval, now)
        timer = eventLoop.schedule({ emitToken(intervalNanos, onToken, onEnd) }, dueNanos - now, TimeUnit.NANOSECONDS)
    }

    private fun emitToken(intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
        if (position >= length) {
            finish(onEnd)
            return
        }
        if (sink.writable) {
            sink.token(position, tokens.token(position))
            position++
            onToken()
        }
        if (position >= length) finish(onEnd) else schedule(intervalNanos, onToken, onEnd)
    }

    private fun finish(onEnd: () -> Unit) {
        onEnd()
        val promptTokens = (request.prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN
        val reason = if (request.maxTokens == null) "stop" else "length"
        sink.finish(position, reason, Usage(promptTokens, position))
    }

    private companion object {
        /** Prompt characters that count as one token, in the usage report only. */
        const val CHARACTERS_PER_TOKEN = 4
    }
}
