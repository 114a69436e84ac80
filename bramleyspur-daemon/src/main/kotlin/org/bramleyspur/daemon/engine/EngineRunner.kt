package org.bramleyspur.daemon.engine

import com.google.protobuf.ByteString
import org.bramleyspur.daemon.entry.BackendAttempt
import org.bramleyspur.daemon.entry.BackendListener
import org.bramleyspur.daemon.entry.BackendRun
import org.bramleyspur.traffic.admission.RefusalReason

/** Runs attempts on a model engine; [run] is a [BackendRunner][org.bramleyspur.daemon.entry.BackendRunner]. */
class EngineRunner(private val execute: EngineExecutor) {
    /** Starts [attempt] on the engine. */
    fun run(attempt: BackendAttempt, listener: BackendListener): BackendRun {
        val start = attempt.start
        val request = EngineRequest(
            id = attempt.id,
            path = start.path,
            body = start.body.toStringUtf8(),
            priority = start.priority,
            timeoutMs = attempt.timeoutMs,
            replica = start.replica,
            fencingNumber = start.fencingNumber,
            traceparent = attempt.traceparent,
            idempotent = start.idempotent,
        )
        return EngineRun(execute(request, EngineListenerAdapter(listener)))
    }

    private class EngineRun(private val call: EngineCall) : BackendRun {
        override val bodyWritable get() = false

        override fun sendBody(data: ByteString, last: Boolean) = Unit

        override fun pauseReading(paused: Boolean) = call.pauseReading(paused)

        override fun cancel() = call.cancel()
    }

    private class EngineListenerAdapter(private val listener: BackendListener) : EngineListener {
        override fun onRefused(reason: EngineRefusal, message: String) = listener.onNotBegun(reason.toReason(), message)

        override fun onBegun() = listener.onBegun()

        override fun onToken(position: Int, token: String) = listener.onToken(position, token)

        override fun onEnd(finishReason: String, promptTokens: Int, completionTokens: Int) =
            listener.onFinish(finishReason, promptTokens, completionTokens)

        override fun onBroken(message: String, begun: Boolean) =
            if (begun) listener.onBroken(message, false) else listener.onNotBegun(RefusalReason.NOT_SERVING, message)

        override fun onRejected(status: Int, message: String) = listener.onRejected(status, message)

        private fun EngineRefusal.toReason(): RefusalReason = when (this) {
            EngineRefusal.NOT_IN_ROLE -> RefusalReason.NOT_SERVING
            EngineRefusal.NO_SLOT -> RefusalReason.QUEUE_FULL
            EngineRefusal.EXPIRED -> RefusalReason.EXPIRED
        }
    }
}
