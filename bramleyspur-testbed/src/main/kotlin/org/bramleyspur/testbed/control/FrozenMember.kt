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
 * Stops the leader, then a follower, for [frozenMs], and accepts a change meanwhile. Queries and heartbeats wait at the
 * stopped member. A burst of them goes across the stop, since a socket that had data first tends to be read first. A
 * removed lease check was not noticed by this check, so it does not prove the lease.
 */
internal class FrozenMember(
    private val cluster: ControlCluster,
    private val report: ProofReport,
    private val frozenMs: Long,
) {
    fun run() = ControlDriver(cluster.addresses).use { driver ->
        freeze(driver, "leader", driver.leader())
        val leader = driver.leader()
        freeze(driver, "follower", cluster.addresses.first { it != leader })
    }

    private fun freeze(driver: ControlDriver, role: String, address: Address) {
        val member = cluster.at(address)
        WaitingCalls(address).use { calls ->
            calls.openSession()
            val burst = thread { repeat(BURST) { calls.send(pauseMs = 1) } }
            Thread.sleep(BURST / 2L)
            member.program.signal("STOP")
            val stoppedNs = System.nanoTime()
            burst.join()
            val change = "frozen-$role"
            val revision = driver.submit(change, "drain instance '$change'")?.revision ?: 0
            val acceptedNs = System.nanoTime()
            promise(role, "a change is accepted meanwhile", revision > 0, "after %.0f ms".format(elapsedMs(stoppedNs)))
            while (elapsedMs(stoppedNs) < frozenMs) calls.send(QUERY_INTERVAL_MS)
            member.program.signal("CONT")
            val until = System.nanoTime()
            while (elapsedMs(until) < AFTER_MS) calls.send(QUERY_INTERVAL_MS)
            val stale = calls.answers.filter { it.revision < revision && it.sentNs > acceptedNs }
            val detail = "${calls.answers.size} answers, ${stale.size} old ${stale.take(2).map { it.what }}"
            promise(role, "the stopped member answers nothing old", stale.isEmpty(), detail)
            verifyKept(driver, role, change, revision)
        }
    }

    private fun verifyKept(driver: ControlDriver, role: String, change: String, revision: Long) {
        val current = driver.query("show configuration")?.reply
        val kept = current?.rowsList.orEmpty().any { row -> row.cellsList.any { change in it } }
        val detail = "revision $revision, now ${current?.revision}"
        promise(role, "the change is not reverted", kept && (current?.revision ?: 0) >= revision, detail)
    }

    private fun promise(role: String, text: String, kept: Boolean, detail: String) =
        report.promise("b", "$role stopped ${frozenMs / MS_PER_S} s: $text", kept, detail)

    private companion object {
        const val BURST = 400
        const val QUERY_INTERVAL_MS = 200L
        const val AFTER_MS = 4_000L
        const val MS_PER_S = 1_000L
    }
}

/**
 * An answer that claims [revision] to be current. A call that was sent before a change was accepted may be answered
 * with the revision before it, however late the answer arrives, so [sentNs] decides.
 */
internal class CurrentAnswer(val what: String, val revision: Long, val sentNs: Long)

/** Calls to one member that are not given up while it is stopped. */
private class WaitingCalls(address: Address) : AutoCloseable {
    /** Answers that were given as current. */
    val answers = ConcurrentLinkedQueue<CurrentAnswer>()
    private val channel = NettyChannelBuilder.forAddress(address.toSocketAddress()).usePlaintext().build()
    private val stub = ControlServiceGrpc.newStub(channel)
    private var session: StreamObserver<SessionUp>? = null
    private var sequence = 0L
    private val heartbeatsNs = ConcurrentHashMap<Long, Long>()

    @Volatile
    private var held = 0L

    /** Opens a session as an entry, which a follower ends at once. */
    fun openSession() {
        session = stub.session(Down())
        val hello = Hello.newBuilder().setInstance("watch").setIncarnation("watch-${System.nanoTime()}")
            .setAddress("127.0.0.1:9").setDataCentre("dc1")
        session?.onNext(SessionUp.newBuilder().setHello(hello).build())
        send(SETTLE_MS)
    }

    /** Sends a query and a heartbeat, then waits [pauseMs]. */
    fun send(pauseMs: Long) {
        stub.query(QueryRequest.newBuilder().setStatement("show services").build(), Answer(System.nanoTime()))
        sequence += 1
        heartbeatsNs[sequence] = System.nanoTime()
        val heartbeat = Heartbeat.newBuilder().setSequence(sequence).setRevision(held)
        session?.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        Thread.sleep(pauseMs)
    }

    override fun close() {
        channel.shutdownNow().awaitTermination(1, TimeUnit.SECONDS)
    }

    private inner class Answer(private val sentNs: Long) : StreamObserver<QueryReply> {
        override fun onNext(reply: QueryReply) {
            if (reply.outcome == QueryReply.Outcome.ANSWERED) answers += CurrentAnswer("query", reply.revision, sentNs)
        }

        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit
    }

    private inner class Down : StreamObserver<SessionDown> {
        override fun onNext(message: SessionDown) {
            if (message.hasConfiguration()) held = message.configuration.revision
            val sentNs = heartbeatsNs[message.heartbeatReply.sequence]
            if (message.heartbeatReply.leaseMs > 0 && sentNs != null) answers += CurrentAnswer("lease", held, sentNs)
        }

        override fun onError(cause: Throwable) {
            session = null
        }

        override fun onCompleted() {
            session = null
        }
    }

    private companion object {
        const val SETTLE_MS = 1_000L
    }
}
