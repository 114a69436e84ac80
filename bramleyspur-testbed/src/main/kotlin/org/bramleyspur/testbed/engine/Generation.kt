/*
 * One generation: a request with its timer, which emits a token each decode interval to a sink.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Headers of a request that concern its scheduling. */
internal data class CallHeaders(
    val attempt: String,
    val priority: Int = 0,
    val timeoutMs: Long? = null,
    val replica: String? = null,
    val fencingNumber: Long? = null,
)

/** Where a generation sends its tokens. */
internal interface TokenSink {
    /** Whether the caller reads fast enough to take a token now. */
    val writable: Boolean

    /** Sends one token. */
    fun token(position: Int, text: String)

    /** Sends the end of the answer. */
    fun finish(position: Int, reason: String, usage: Usage)

    /** Ends the answer without its end marker. */
    fun broken()

    /** Refuses the request before it began. */
    fun refused(refusal: EngineRefusal)
}

/** A request in the queue or in a slot. All calls are on [loop]. */
internal class Generation(
    val call: CallHeaders,
    val request: CompletionRequest,
    val sink: TokenSink,
    private val tokens: TokenFunction,
    private val length: Int,
    private val loop: EventLoop,
) {
    /** Time by [System.nanoTime] after which the request is not begun; null without a deadline. */
    val deadlineNanos: Long? = call.timeoutMs?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }

    private var position = request.resume?.position ?: 0
    private var dueNanos = 0L
    private var timer: Future<*>? = null

    /** Whether the tokens that the request resumes from are those that this engine would have generated. */
    fun resumesExactly(): Boolean =
        request.resume?.tokens.orEmpty().withIndex().all { (i, text) -> text == tokens.token(i) }

    /** Emits the first token after [prefillNanos] and each later one after [intervalNanos] more. */
    fun start(prefillNanos: Long, intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
        dueNanos = System.nanoTime() + prefillNanos
        schedule(intervalNanos, onToken, onEnd)
    }

    /** Stops the timer; nothing more is sent. */
    fun stop() {
        timer?.cancel(false)
    }

    private fun schedule(intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
        val now = System.nanoTime()
        val interval = intervalNanos()
        // After a pause of the process the stream goes on at its pace instead of catching up in one burst.
        dueNanos = maxOf(dueNanos + interval, now)
        timer = loop.schedule({ step(intervalNanos, onToken, onEnd) }, dueNanos - now, TimeUnit.NANOSECONDS)
    }

    private fun step(intervalNanos: () -> Long, onToken: () -> Unit, onEnd: () -> Unit) {
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
        val promptTokens = (request.prompt.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
        val reason = if (request.maxTokens == null) "stop" else "length"
        sink.finish(position, reason, Usage(promptTokens, position))
    }

    private companion object {
        /** Prompt characters counted as one token, for the usage report only. */
        const val BYTES_PER_TOKEN = 4
    }
}
