package org.bramleyspur.testbed.control

import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.StreamObserver
import org.bramleyspur.core.settings.Address
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.Hello
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SessionDown
import org.bramleyspur.protocol.SessionUp
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Checks that a paused member gives no stale responses: pauses the leader, then a follower, for [pauseMs] and submits a
 * change meanwhile. Queries and heartbeats queue up at the paused member. A burst of them is sent around the time of
 * the pause, since the resumed member tends to read first from the socket that received data first. This check does not
 * prove the lease: it did not detect a removed lease check.
 */
internal class PausedMember(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val pauseMs: Long,
) {
    fun run() = OperatorClient(cluster.addresses).use { client ->
        checkWhilePaused(client, "leader", client.leader())
        val leader = client.leader()
        checkWhilePaused(client, "follower", cluster.addresses.first { it != leader })
    }

    private fun checkWhilePaused(client: OperatorClient, role: String, address: Address) {
        val member = cluster.memberAt(address)
        PendingCalls(address).use { calls ->
            calls.openSession()
            val burstSender = thread { repeat(BURST_CALLS) { calls.send(delayMs = 1) } }
            Thread.sleep(BURST_CALLS / 2L)
            member.process.signal("STOP")
            val pausedNs = System.nanoTime()
            burstSender.join()
            val change = "frozen-$role"
            val revision = client.submit(change, "drain instance '$change'")?.revision ?: 0
            val acceptedNs = System.nanoTime()
            record(role, "a change is accepted meanwhile", revision > 0, "after %.0f ms".format(elapsedMs(pausedNs)))
            while (elapsedMs(pausedNs) < pauseMs) calls.send(CALL_INTERVAL_MS)
            member.process.signal("CONT")
            val resumedNs = System.nanoTime()
            while (elapsedMs(resumedNs) < CALLS_AFTER_RESUME_MS) calls.send(CALL_INTERVAL_MS)
            val stale = calls.responses.filter { it.revision < revision && it.sentNs > acceptedNs }
            val detail = "${calls.responses.size} answers, ${stale.size} stale ${stale.take(2).map { it.source }}"
            record(role, "the stopped member gives no stale answer", stale.isEmpty(), detail)
            verifyNotReverted(client, role, change, revision)
        }
    }

    private fun verifyNotReverted(client: OperatorClient, role: String, change: String, revision: Long) {
        val current = client.query("show configuration")?.reply
        val present = current?.rowsList.orEmpty().any { row -> row.cellsList.any { change in it } }
        val detail = "revision $revision, now ${current?.revision}"
        record(role, "the change is not reverted", present && (current?.revision ?: 0) >= revision, detail)
    }

    private fun record(role: String, text: String, holds: Boolean, detail: String) =
        report.record("b", "$role stopped ${pauseMs / MS_PER_SECOND} s: $text", holds, detail)

    private companion object {
        const val BURST_CALLS = 400
        const val CALL_INTERVAL_MS = 200L
        const val CALLS_AFTER_RESUME_MS = 4_000L
        const val MS_PER_SECOND = 1_000L
    }
}

/**
 * A response that claims that [revision] is current. The response to a call sent before a change was accepted may have
 * the previous revision however late it arrives, so staleness depends on [sentNs].
 */
internal class RpcResponse(val source: String, val revision: Long, val sentNs: Long)

/** Calls to one member that have no deadline, so that they outlast a pause of the member. */
private class PendingCalls(address: Address) : AutoCloseable {
    /** Responses that claim to be current. */
    val responses = ConcurrentLinkedQueue<RpcResponse>()
    private val channel = NettyChannelBuilder.forAddress(address.toSocketAddress()).usePlaintext().build()
    private val stub = ControlServiceGrpc.newStub(channel)
    private var session: StreamObserver<SessionUp>? = null
    private var sequence = 0L
    private val heartbeatSentNs = ConcurrentHashMap<Long, Long>()

    @Volatile
    private var revision = 0L

    /** Opens a session as an entry; a follower closes it immediately. */
    fun openSession() {
        session = stub.session(SessionObserver())
        val hello = Hello.newBuilder().setInstance("watch").setIncarnation("watch-${System.nanoTime()}")
            .setAddress("127.0.0.1:9").setDataCentre("dc1")
        session?.onNext(SessionUp.newBuilder().setHello(hello).build())
        send(SETTLE_AFTER_HELLO_MS)
    }

    /** Sends a query and a heartbeat, then waits [delayMs]. */
    fun send(delayMs: Long) {
        stub.query(QueryRequest.newBuilder().setStatement("show services").build(), QueryObserver(System.nanoTime()))
        sequence += 1
        heartbeatSentNs[sequence] = System.nanoTime()
        val heartbeat = Heartbeat.newBuilder().setSequence(sequence).setRevision(revision)
        session?.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        Thread.sleep(delayMs)
    }

    override fun close() {
        channel.shutdownNow().awaitTermination(1, TimeUnit.SECONDS)
    }

    private inner class QueryObserver(private val sentNs: Long) : StreamObserver<QueryReply> {
        override fun onNext(reply: QueryReply) {
            if (reply.outcome == QueryReply.Outcome.ANSWERED) responses += RpcResponse("query", reply.revision, sentNs)
        }

        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private inner class SessionObserver : StreamObserver<SessionDown> {
        override fun onNext(message: SessionDown) {
            if (message.hasConfiguration()) revision = message.configuration.revision
            val atNs = heartbeatSentNs[message.heartbeatReply.sequence]
            if (message.heartbeatReply.leaseMs > 0 && atNs != null) responses += RpcResponse("lease", revision, atNs)
        }

        override fun onError(cause: Throwable) {
            session = null
        }

        override fun onCompleted() {
            session = null
        }
    }

    private companion object {
        const val SETTLE_AFTER_HELLO_MS = 1_000L
    }
}
