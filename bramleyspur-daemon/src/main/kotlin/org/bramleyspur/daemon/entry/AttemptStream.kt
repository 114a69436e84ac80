package org.bramleyspur.daemon.entry

import com.google.protobuf.ByteString
import io.grpc.stub.ServerCallStreamObserver
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.telemetry.HopSpan
import org.bramleyspur.protocol.Begun
import org.bramleyspur.protocol.BodyPart
import org.bramleyspur.protocol.Broken
import org.bramleyspur.protocol.End
import org.bramleyspur.protocol.ExecuteEvent
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Piece
import org.bramleyspur.protocol.Refused
import org.bramleyspur.protocol.Rejected
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.admission.AttemptKey
import org.bramleyspur.traffic.admission.RefusalReason

/** One attempt at this agent: the entry's stream and, once begun, the run on the backend server. */
internal class AttemptStream(
    val start: Start,
    val deadlineMs: Long,
    private val attemptManager: AttemptManager,
    private val events: ServerCallStreamObserver<ExecuteEvent>,
    private val agentSpan: HopSpan,
    private var queueSpan: HopSpan?,
) : BackendListener {
    val key = AttemptKey(RequestId(start.request), start.attempt)
    private var run: BackendRun? = null
    private var backendSpan: HopSpan? = null
    private var ended = false
    private var pendingBody = ArrayList<BodyPart>()

    /** Whether a run is in progress. */
    val isRunning: Boolean get() = run != null && !ended

    /** Starts the run; called when the queue has assigned a slot to the attempt. */
    fun begin(runner: BackendRunner, nowMs: Long) {
        queueSpan?.end()
        queueSpan = null
        val span = attemptManager.tracing.start("backend server", agentSpan.traceparent)
        backendSpan = span
        val attempt = BackendAttempt(start, (deadlineMs - nowMs).coerceAtLeast(1), span.traceparent)
        run = runner(attempt, this)
        val parts = pendingBody
        pendingBody = ArrayList()
        parts.forEach { run?.sendBody(it.data, it.last) }
    }

    /** Sends a part of the request body to the backend server, or buffers it until the run starts. */
    fun addBodyPart(part: BodyPart) {
        val current = run
        if (current == null) {
            pendingBody.add(part)
        } else {
            current.sendBody(part.data, part.last)
            if (current.bodyWritable) events.request(1)
        }
    }

    /** Called when the entry's stream is writable again. */
    fun onStreamReady() {
        run?.pauseReading(false)
    }

    /** Reports to the entry that the attempt has not begun and will not begin. */
    fun refuse(reason: RefusalReason, retryAfterMs: Long, message: String) {
        val refused = Refused
            .newBuilder()
            .setReason(Refused.Reason.valueOf(reason.name))
            .setRetryAfterMs(retryAfterMs.toInt())
            .setMessage(message)
        end("refused", ExecuteEvent.newBuilder().setRefused(refused), message)
    }

    /** Cancels the run and reports to the entry that the response is incomplete. */
    fun endAsBroken(message: String) {
        if (!ended) onBroken(message, false)
    }

    /** Cancels the run after the entry has disconnected. */
    fun abandon() {
        if (ended) return
        run?.cancel()
        ended = true
        endSpans("the entry disconnected")
        attemptManager.onRunEnded(this)
    }

    override fun onBegun() = send(ExecuteEvent.newBuilder().setBegun(Begun.getDefaultInstance()), withLoad = true)

    override fun onNotBegun(reason: RefusalReason, message: String) {
        if (!ended) attemptManager.onNotBegun(this, reason, message)
    }

    override fun onRejected(status: Int, message: String) {
        val rejected = Rejected.newBuilder().setStatus(status).setMessage(message)
        endRun("rejected", ExecuteEvent.newBuilder().setRejected(rejected), message)
    }

    override fun onToken(position: Int, token: String) {
        if (!attemptManager.mayDeliver()) return endAsBroken("the replica is no longer complete")
        send(ExecuteEvent.newBuilder().setPiece(Piece.newBuilder().setPosition(position).setToken(token)))
        // Unread tokens of a slow caller stay in the engine's connection, since an agent has little memory.
        if (!events.isReady) run?.pauseReading(true)
    }

    override fun onFinish(reason: String, promptTokens: Int, completionTokens: Int) {
        val end = End
            .newBuilder()
            .setFinishReason(reason)
            .setPromptTokens(promptTokens)
            .setCompletionTokens(completionTokens)
        endRun("finished", ExecuteEvent.newBuilder().setEnd(end), "")
    }

    override fun onHead(head: Head) = send(ExecuteEvent.newBuilder().setHead(head), withLoad = true)

    override fun onBody(data: ByteString, last: Boolean) {
        val event = ExecuteEvent.newBuilder().setBody(BodyPart.newBuilder().setData(data).setLast(last))
        if (last) return endRun("finished", event, "")
        send(event)
        if (!events.isReady) run?.pauseReading(true)
    }

    override fun onBroken(message: String, failed: Boolean) {
        // The response may have been abandoned while the backend server still runs, so the run is cancelled.
        run?.cancel()
        val broken = Broken.newBuilder().setMessage(message).setFailed(failed)
        endRun("broken", ExecuteEvent.newBuilder().setBroken(broken), message)
    }

    override fun onBodyWritable() {
        if (!ended) events.request(1)
    }

    private fun send(event: ExecuteEvent.Builder, withLoad: Boolean = false) {
        if (ended || events.isCancelled) return
        if (withLoad) event.load = attemptManager.loadFor(start.entry)
        events.onNext(event.setAttempt(start.attempt).build())
    }

    private fun endRun(outcome: String, event: ExecuteEvent.Builder, failure: String) {
        if (ended) return
        end(outcome, event, failure)
        attemptManager.onRunEnded(this)
    }

    private fun end(outcome: String, event: ExecuteEvent.Builder, failure: String) {
        if (ended) return
        send(event, withLoad = true)
        ended = true
        if (!events.isCancelled) events.onCompleted()
        endSpans(failure)
        attemptManager.metrics.attempts.labelValues(outcome).inc()
    }

    private fun endSpans(failure: String) {
        listOfNotNull(queueSpan, backendSpan, agentSpan).forEach {
            if (failure.isEmpty()) it.end() else it.fail(failure)
        }
        queueSpan = null
        backendSpan = null
    }
}
