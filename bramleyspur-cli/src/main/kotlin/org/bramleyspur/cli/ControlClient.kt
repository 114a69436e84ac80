/*
 * Submits commands and queries to whichever control instance is the leader. A command is resent under the same
 * identity, which makes it safe: the instances give a resend the first answer.
 */
package org.bramleyspur.cli

import org.bramleyspur.protocol.ControlServiceGrpc.ControlServiceBlockingStub
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest

/** Pause before the next instance is asked, in milliseconds; a leader change takes 1 to 2 s. */
private const val PAUSE_MS = 100L

/** Longest wait for one instance in milliseconds, so that a frozen one leaves time for the others. */
private const val MAX_ATTEMPT_MS = 2000L

/** How a call to the control instances ended. */
internal sealed interface CallResult<out R> {
    /** The leader replied. */
    data class Replied<R>(val reply: R) : CallResult<R>

    /** No attempt can have had an effect. */
    data class Unavailable(val reason: String) : CallResult<Nothing>

    /** An attempt may have had an effect, and none was answered before the timeout. */
    data class Unknown(val reason: String) : CallResult<Nothing>
}

/** What a reply means for the next attempt. */
private sealed interface Verdict {
    data object Final : Verdict

    data class OtherLeader(val hint: ControlAddress?) : Verdict

    /** The instance could not finish the call, which may still take effect. */
    data class Unfinished(val message: String) : Verdict
}

/** A client of the control instances at [addresses]; each call ends after [timeoutMs] milliseconds. */
internal class ControlClient(private val addresses: List<ControlAddress>, private val timeoutMs: Int) : AutoCloseable {
    private val calls = ControlCalls()
    private var position = 0

    /** Submits a command. */
    fun submit(request: SubmitRequest): CallResult<SubmitReply> = untilAnswered({ it.submit(request) }) { reply ->
        when (reply.outcome) {
            SubmitReply.Outcome.NOT_LEADER -> Verdict.OtherLeader(ControlAddress.parse(reply.leader))
            SubmitReply.Outcome.ACCEPTED, SubmitReply.Outcome.REFUSED -> Verdict.Final
            else -> Verdict.Unfinished(reply.message)
        }
    }

    /** Asks a query. */
    fun query(request: QueryRequest): CallResult<QueryReply> = untilAnswered({ it.query(request) }) { reply ->
        when (reply.outcome) {
            QueryReply.Outcome.NOT_LEADER -> Verdict.OtherLeader(ControlAddress.parse(reply.leader))
            QueryReply.Outcome.ANSWERED, QueryReply.Outcome.REFUSED -> Verdict.Final
            else -> Verdict.Unfinished(reply.message)
        }
    }

    override fun close() = calls.close()

    private fun <R> untilAnswered(send: (ControlServiceBlockingStub) -> R, verdict: (R) -> Verdict): CallResult<R> {
        val progress = Progress(addresses[position])
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MILLI
        var attempts = 0
        while (true) {
            val leftMs = (end - System.nanoTime()) / NANOS_PER_MILLI
            if (leftMs <= 0 || (attempts > 0 && leftMs < MIN_ATTEMPT_MS)) return progress.timedOut()
            attempts += 1
            when (val attempt = calls.call(progress.target, leftMs.coerceAtMost(MAX_ATTEMPT_MS), send)) {
                is Attempt.Replied -> {
                    val decided = verdict(attempt.reply)
                    if (decided == Verdict.Final) return CallResult.Replied(attempt.reply)
                    progress.note(decided)
                }
                is Attempt.NotSent -> progress.failed(attempt.reason, mayHaveRun = false)
                is Attempt.Lost -> progress.failed(attempt.reason, mayHaveRun = true)
            }
            if (!progress.followsHint) Thread.sleep(leftMs.coerceAtMost(PAUSE_MS))
        }
    }

    private fun nextAddress(): ControlAddress {
        position = (position + 1) % addresses.size
        return addresses[position]
    }

    /** What the attempts of one call have shown, and where the next one goes. */
    private inner class Progress(var target: ControlAddress) {
        private var mayHaveRun = false
        private var reason = "no control instance answered"

        /** Whether the next attempt goes to a hinted leader at once; each second hint waits, to break a cycle. */
        var followsHint = false
            private set

        fun note(verdict: Verdict) = when (verdict) {
            is Verdict.OtherLeader -> follow(verdict.hint)
            is Verdict.Unfinished -> failed("$target: ${verdict.message}", mayHaveRun = true)
            Verdict.Final -> Unit
        }

        fun failed(reason: String, mayHaveRun: Boolean) {
            this.reason = reason
            this.mayHaveRun = this.mayHaveRun || mayHaveRun
            followsHint = false
            target = nextAddress()
        }

        fun timedOut(): CallResult<Nothing> =
            if (mayHaveRun) CallResult.Unknown(reason) else CallResult.Unavailable(reason)

        private fun follow(hint: ControlAddress?) {
            reason = "$target: is not the leader" + hint?.let { " and names $it" }.orEmpty()
            followsHint = hint != null && hint != target && !followsHint
            target = hint?.takeIf { it != target } ?: nextAddress()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** An attempt with less time is likely to end without an answer, which would make the outcome unknown. */
        const val MIN_ATTEMPT_MS = 250L
    }
}
