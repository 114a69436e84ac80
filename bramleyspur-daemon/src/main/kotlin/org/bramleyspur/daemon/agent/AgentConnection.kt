package org.bramleyspur.daemon.agent

import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.AgentServiceGrpc
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import java.util.concurrent.TimeUnit

/**
 * The connection to one agent and the attempts on it. The connection to a frozen or unreachable agent stays open, and
 * gRPC's keepalive needs at least 10 s to detect it. An agent that sends nothing while attempts run is thus probed;
 * if it does not reply, its attempts fail as lost, so that they can be retried on another agent.
 */
internal class AgentConnection(val channel: ManagedChannel, private val timers: TimerService) {
    private val attempts = HashSet<RemoteAttempt>()
    private var lastReceivedMs = timers.nowMs()
    private var probing = false

    /** Registers an attempt that starts on this connection. */
    fun add(attempt: RemoteAttempt) {
        if (attempts.isEmpty()) lastReceivedMs = timers.nowMs()
        attempts += attempt
    }

    /** Removes an attempt that has ended. */
    fun remove(attempt: RemoteAttempt) {
        attempts -= attempt
    }

    /** Records that the agent has sent a message. */
    fun onReceived() {
        lastReceivedMs = timers.nowMs()
    }

    /** Probes the agent if attempts are running and it has sent nothing for [UNRESPONSIVE_LIMIT_MS]. */
    fun checkLiveness() {
        if (probing || attempts.isEmpty() || timers.nowMs() - lastReceivedMs < UNRESPONSIVE_LIMIT_MS) return
        probing = true
        AgentServiceGrpc
            .newStub(channel)
            .withDeadlineAfter(PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .lookup(LookupRequest.getDefaultInstance(), ProbeObserver())
    }

    private fun failAttempts() {
        // A message may have arrived while the probe was outstanding.
        if (timers.nowMs() - lastReceivedMs < UNRESPONSIVE_LIMIT_MS) return
        attempts.toList().forEach { it.failAsLost() }
    }

    private inner class ProbeObserver : StreamObserver<LookupReply> {
        override fun onNext(reply: LookupReply) = onReceived()

        override fun onError(cause: Throwable) {
            probing = false
            failAttempts()
        }

        override fun onCompleted() {
            probing = false
        }
    }

    private companion object {
        /** Longer than the interval between tokens, shorter than callers are willing to wait. */
        const val UNRESPONSIVE_LIMIT_MS = 500L

        /** Allows for a garbage collection pause of the agent and a retransmission on a lossy link. */
        const val PROBE_TIMEOUT_MS = 1_000L
    }
}

/** An attempt that runs on an [AgentConnection]. */
internal interface RemoteAttempt {
    /** Ends the attempt as lost. */
    fun failAsLost()
}
