package org.bramleyspur.daemon.agent

import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.AgentServiceGrpc
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import java.util.concurrent.TimeUnit

/**
 * The connection to one agent and the attempts on it. An agent that is frozen or cut off keeps its connection open, and
 * gRPC's own keepalive needs at least 10 s to notice. So an agent that sends nothing while attempts run is asked, and
 * when it does not answer its attempts are given up, so that they can go on elsewhere.
 */
internal class AgentConnection(val channel: ManagedChannel, private val timers: TimerService) {
    private val attempts = HashSet<RemoteAttempt>()
    private var heardAtMs = timers.nowMs()
    private var asking = false

    /** An attempt starts on this connection. */
    fun add(attempt: RemoteAttempt) {
        if (attempts.isEmpty()) heardAtMs = timers.nowMs()
        attempts += attempt
    }

    /** An attempt has ended. */
    fun remove(attempt: RemoteAttempt) {
        attempts -= attempt
    }

    /** The agent has sent something. */
    fun onHeard() {
        heardAtMs = timers.nowMs()
    }

    /** Asks the agent whether it is there when it has been silent for [SILENCE_MS]. */
    fun check() {
        if (asking || attempts.isEmpty() || timers.nowMs() - heardAtMs < SILENCE_MS) return
        asking = true
        AgentServiceGrpc
            .newStub(channel)
            .withDeadlineAfter(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .lookup(LookupRequest.getDefaultInstance(), Answer())
    }

    private fun giveUp() {
        // Something may have arrived while the answer to the question was under way.
        if (timers.nowMs() - heardAtMs < SILENCE_MS) return
        attempts.toList().forEach { it.giveUp() }
    }

    private inner class Answer : StreamObserver<LookupReply> {
        override fun onNext(reply: LookupReply) = onHeard()

        override fun onError(cause: Throwable) {
            asking = false
            giveUp()
        }

        override fun onCompleted() {
            asking = false
        }
    }

    private companion object {
        /** Longer than the distance of tokens, shorter than a caller's patience. */
        const val SILENCE_MS = 500L

        /** Covers a garbage collection of the agent and a retransmission on a lossy link. */
        const val ANSWER_TIMEOUT_MS = 1_000L
    }
}

/** An attempt as its connection sees it. */
internal interface RemoteAttempt {
    /** Ends the attempt as lost. */
    fun giveUp()
}
