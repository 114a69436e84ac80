/*
 * Submits commands and queries to the control instance that is the leader. A command is retried under the same command
 * id. That is safe, since the control instances give a repeated command the result that they recorded first.
 */
package org.bramleyspur.cli

import org.bramleyspur.protocol.ControlServiceGrpc.ControlServiceBlockingStub
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest

/** Pause before the next attempt; a leader change takes 1 to 2 s. */
private const val RETRY_PAUSE_MS = 100L

/** Timeout of one attempt, so that an unresponsive instance leaves time for the others. */
private const val ATTEMPT_TIMEOUT_MS = 2000L

/** How a call to the control instances ended. */
internal sealed interface CallResult<out R> {
    /** The leader replied. */
    data class Replied<R>(val reply: R) : CallResult<R>

    /** No attempt can have had an effect. */
    data class Unavailable(val reason: String) : CallResult<Nothing>

    /** An attempt may have had an effect, but no final reply arrived before the timeout. */
    data class OutcomeUnknown(val reason: String) : CallResult<Nothing>
}

/** Whether a reply ends the call, or why another attempt is needed. */
private sealed interface ReplyStatus {
    data object Final : ReplyStatus

    data class NotLeader(val leader: ControlAddress?) : ReplyStatus

    /** The instance could not complete the call, which may still take effect. */
    data class Incomplete(val message: String) : ReplyStatus
}

/** A client of the control instances at [addresses]; each call times out after [timeoutMs] milliseconds. */
internal class ControlClient(private val addresses: List<ControlAddress>, private val timeoutMs: Int) : AutoCloseable {
    private val calls = ControlCalls()
    private var addressIndex = 0

    fun submit(request: SubmitRequest): CallResult<SubmitReply> = callUntilFinal({ it.submit(request) }) { reply ->
        when (reply.outcome) {
            SubmitReply.Outcome.NOT_LEADER -> ReplyStatus.NotLeader(ControlAddress.parse(reply.leader))
            SubmitReply.Outcome.ACCEPTED, SubmitReply.Outcome.REFUSED -> ReplyStatus.Final
            else -> ReplyStatus.Incomplete(reply.message)
        }
    }

    fun query(request: QueryRequest): CallResult<QueryReply> = callUntilFinal({ it.query(request) }) { reply ->
        when (reply.outcome) {
            QueryReply.Outcome.NOT_LEADER -> ReplyStatus.NotLeader(ControlAddress.parse(reply.leader))
            QueryReply.Outcome.ANSWERED, QueryReply.Outcome.REFUSED -> ReplyStatus.Final
            else -> ReplyStatus.Incomplete(reply.message)
        }
    }

    override fun close() = calls.close()

    private fun <R> callUntilFinal(
        send: (ControlServiceBlockingStub) -> R,
        classify: (R) -> ReplyStatus,
    ): CallResult<R> {
        val progress = CallProgress(addresses[addressIndex])
        val deadlineNanos = System.nanoTime() + timeoutMs * NANOS_PER_MILLI
        var attempts = 0
        while (true) {
            val remainingMs = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI
            if (remainingMs <= 0 || (attempts > 0 && remainingMs < MIN_ATTEMPT_MS)) return progress.timeoutResult()
            attempts += 1
            when (val attempt = calls.call(progress.target, remainingMs.coerceAtMost(ATTEMPT_TIMEOUT_MS), send)) {
                is AttemptResult.Replied -> {
                    val status = classify(attempt.reply)
                    if (status == ReplyStatus.Final) return CallResult.Replied(attempt.reply)
                    progress.record(status)
                }
                is AttemptResult.NotExecuted -> progress.recordFailure(attempt.reason, mayHaveRun = false)
                is AttemptResult.NoReply -> progress.recordFailure(attempt.reason, mayHaveRun = true)
            }
            if (!progress.followsLeaderHint) Thread.sleep(remainingMs.coerceAtMost(RETRY_PAUSE_MS))
        }
    }

    private fun nextAddress(): ControlAddress {
        addressIndex = (addressIndex + 1) % addresses.size
        return addresses[addressIndex]
    }

    /** Results of the attempts of one call, and the instance that the next one goes to. */
    private inner class CallProgress(var target: ControlAddress) {
        private var mayHaveRun = false
        private var reason = "no control instance answered"

        /**
         * Whether the next attempt goes to the named leader without a pause. The attempt after that one always waits,
         * so that instances that name each other as leader do not cause a tight loop.
         */
        var followsLeaderHint = false
            private set

        fun record(status: ReplyStatus) = when (status) {
            is ReplyStatus.NotLeader -> followLeader(status.leader)
            is ReplyStatus.Incomplete -> recordFailure("$target: ${status.message}", mayHaveRun = true)
            ReplyStatus.Final -> Unit
        }

        fun recordFailure(reason: String, mayHaveRun: Boolean) {
            this.reason = reason
            this.mayHaveRun = this.mayHaveRun || mayHaveRun
            followsLeaderHint = false
            target = nextAddress()
        }

        fun timeoutResult(): CallResult<Nothing> =
            if (mayHaveRun) CallResult.OutcomeUnknown(reason) else CallResult.Unavailable(reason)

        private fun followLeader(leader: ControlAddress?) {
            reason = "$target: is not the leader" + leader?.let { ", which is $it" }.orEmpty()
            followsLeaderHint = leader != null && leader != target && !followsLeaderHint
            target = leader?.takeIf { it != target } ?: nextAddress()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** A later attempt with less time is likely to time out, which would make the outcome unknown. */
        const val MIN_ATTEMPT_MS = 250L
    }
}
