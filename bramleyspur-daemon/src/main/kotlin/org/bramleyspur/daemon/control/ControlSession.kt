/*
 * The session of an entry or agent with the control leader: announcement and heartbeats up; configuration, routes,
 * leases and assignments down. It runs on the control thread.
 */
package org.bramleyspur.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply
import org.bramleyspur.protocol.Hello
import org.bramleyspur.protocol.SessionDown
import org.bramleyspur.protocol.SessionUp

private val logger = KotlinLogging.logger {}

/** What a process does with the news of its session; all calls come on the control thread. */
interface ControlSessionListener {
    /** Builds the heartbeat that is about to be sent; sequence and revision are filled in by the session. */
    fun heartbeat(): Heartbeat.Builder

    /** Takes a configuration with a higher revision than all before. */
    fun onConfiguration(configuration: Configuration)

    /** Takes a later route table than all before. */
    fun onRoutes(routes: RouteTable)

    /** Takes the leader's answer to the heartbeat that was sent at [sentAtMs]. */
    fun onReply(reply: HeartbeatReply, sentAtMs: Long)
}

/**
 * Keeps one session with the control leader, and looks for the leader among [addresses] when it has none.
 *
 * @property hello announcement of this process; the revision is filled in by the session
 */
class ControlSession(
    private val addresses: List<Address>,
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val hello: Hello,
    private val listener: ControlSessionListener,
) : AutoCloseable {
    private var next = 0
    private var hint: Address? = null
    private var attempt: Attempt? = null
    private var closed = false
    private var revision = Revision.NONE
    private var routes = RouteTable()
    private var term = 0L

    /** Address of the leader that answers, null while there is none. */
    var leader: Address? = null
        private set

    /** Starts to look for the leader. */
    fun start() {
        timers.every(HEARTBEAT_INTERVAL_MS) { beat() }
        timers.every(CHECK_INTERVAL_MS) { leaveSilentInstance() }
        connect()
    }

    /** Sends a heartbeat now, so that the leader learns of a change of state at once. */
    fun beat() {
        if (!closed) attempt?.sendHeartbeat()
    }

    override fun close() {
        closed = true
        attempt?.end()
    }

    private fun connect() {
        if (closed) return
        val address = hint ?: addresses[next++ % addresses.size]
        hint = null
        attempt = Attempt(address).also { it.open() }
    }

    private fun leaveSilentInstance() {
        val current = attempt?.takeIf { it.isOverdue(timers.nowMs()) } ?: return
        logger.warn { "control instance ${current.address} does not answer; trying the next one" }
        current.end()
    }

    private fun connectionEnded(ended: Attempt) {
        if (attempt !== ended) return
        attempt = null
        leader = null
        if (hint != null) connect() else timers.after(RECONNECT_DELAY_MS) { connect() }
    }

    private fun take(configuration: Configuration) {
        if (configuration.revision <= revision) return
        revision = configuration.revision
        listener.onConfiguration(configuration)
        beat()
    }

    private fun take(table: RouteTable) {
        if (!table.isLaterThan(routes)) return
        routes = table
        listener.onRoutes(table)
    }

    /** One connection to one control instance. */
    private inner class Attempt(val address: Address) : StreamObserver<SessionDown> {
        private val channel: ManagedChannel = openChannel(address, group)
        private val up: StreamObserver<SessionUp> = ControlServiceGrpc.newStub(channel).session(this)
        private val sentAtMs = LinkedHashMap<Long, Long>()
        private var sequence = 0L
        private var answered = false
        private var ended = false

        fun open() {
            val announcement = hello.toBuilder().setRevision(revision.value)
            up.onNext(SessionUp.newBuilder().setHello(announcement).build())
            sendHeartbeat()
        }

        fun isOverdue(nowMs: Long): Boolean {
            val oldest = sentAtMs.values.firstOrNull() ?: return false
            return nowMs - oldest > if (answered) ANSWER_TIMEOUT_MS else FIRST_ANSWER_TIMEOUT_MS
        }

        fun sendHeartbeat() {
            if (ended) return
            sequence += 1
            sentAtMs[sequence] = timers.nowMs()
            val heartbeat = listener.heartbeat().setSequence(sequence).setRevision(revision.value)
            up.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        }

        fun end() {
            if (ended) return
            ended = true
            channel.shutdownNow()
            connectionEnded(this)
        }

        override fun onNext(message: SessionDown) {
            if (ended) return
            answered = true
            when (message.kindCase) {
                SessionDown.KindCase.HEARTBEAT_REPLY -> onReply(message.heartbeatReply)
                SessionDown.KindCase.CONFIGURATION -> take(message.configuration.toModel())
                SessionDown.KindCase.ROUTES -> take(message.routes.toModel())
                SessionDown.KindCase.NOT_LEADER -> onNotLeader(message.notLeader.leader)
                else -> logger.warn { "unknown message from control instance $address ignored" }
            }
        }

        private fun onReply(reply: HeartbeatReply) {
            val sent = sentAtMs[reply.sequence] ?: return
            sentAtMs.keys.removeIf { it <= reply.sequence }
            if (reply.term < term) {
                logger.warn { "control instance $address answers with the old term ${reply.term}; leaving it" }
                end()
                return
            }
            term = reply.term
            if (leader != address) logger.info { "session with control leader $address in term $term" }
            leader = address
            listener.onReply(reply, sent)
        }

        private fun onNotLeader(leaderAddress: String) {
            hint = Address.parse(leaderAddress).component1()?.takeIf { it != address }
            end()
        }

        override fun onError(cause: Throwable) {
            logger.debug { "session with $address ended: ${cause.message}" }
            end()
        }

        override fun onCompleted() = end()
    }

    private companion object {
        const val HEARTBEAT_INTERVAL_MS = 1_000L
        const val CHECK_INTERVAL_MS = 250L

        /**
         * With a heartbeat each second a frozen leader is left after 2.75 s. Two further instances that do not answer
         * take 1.8 s more, so that the search ends before the lease of 6 s.
         */
        const val ANSWER_TIMEOUT_MS = 1_500L
        const val FIRST_ANSWER_TIMEOUT_MS = 700L
        const val RECONNECT_DELAY_MS = 100L
    }
}
