/*
 * The session of an entry or agent with the control leader. The process sends a hello message and heartbeats; the
 * leader sends configuration, routes, leases and assignments. The session runs on the control thread.
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

/** Receives the messages of a control session; all calls come on the control thread. */
interface ControlSessionListener {
    /** Builds the next heartbeat; the session sets its sequence and revision. */
    fun heartbeat(): Heartbeat.Builder

    /** Handles a configuration with a higher revision than all previous ones. */
    fun onConfiguration(configuration: Configuration)

    /** Handles a route table that is later than all previous ones. */
    fun onRoutes(routes: RouteTable)

    /** Handles the leader's reply to the heartbeat that was sent at [sentAtMs]. */
    fun onReply(reply: HeartbeatReply, sentAtMs: Long)
}

/**
 * Maintains one session with the control leader, and searches for the leader among [addresses] if there is none.
 *
 * @property hello first message of each connection, which describes this process; the session sets its revision
 */
class ControlSession(
    private val addresses: List<Address>,
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val hello: Hello,
    private val listener: ControlSessionListener,
) : AutoCloseable {
    private var nextAddressIndex = 0
    private var leaderHint: Address? = null
    private var connection: Connection? = null
    private var closed = false
    private var revision = Revision.NONE
    private var routes = RouteTable()
    private var term = 0L

    /** Address of the leader that replies to heartbeats, null while there is none. */
    var leader: Address? = null
        private set

    /** Starts the search for the leader and the periodic heartbeats. */
    fun start() {
        timers.every(HEARTBEAT_INTERVAL_MS) { sendHeartbeat() }
        timers.every(REPLY_CHECK_INTERVAL_MS) { closeOverdueConnection() }
        connect()
    }

    /** Sends a heartbeat immediately, so that the leader is informed of a state change without delay. */
    fun sendHeartbeat() {
        if (!closed) connection?.sendHeartbeat()
    }

    override fun close() {
        closed = true
        connection?.end()
    }

    private fun connect() {
        if (closed) return
        val address = leaderHint ?: addresses[nextAddressIndex++ % addresses.size]
        leaderHint = null
        connection = Connection(address).also { it.open() }
    }

    private fun closeOverdueConnection() {
        val current = connection?.takeIf { it.isOverdue(timers.nowMs()) } ?: return
        logger.warn { "control instance ${current.address} did not reply in time; trying the next one" }
        current.end()
    }

    private fun connectionEnded(ended: Connection) {
        if (connection !== ended) return
        connection = null
        leader = null
        if (leaderHint != null) connect() else timers.after(RECONNECT_DELAY_MS) { connect() }
    }

    private fun applyConfiguration(configuration: Configuration) {
        if (configuration.revision <= revision) return
        revision = configuration.revision
        listener.onConfiguration(configuration)
        sendHeartbeat()
    }

    private fun applyRoutes(table: RouteTable) {
        if (!table.isLaterThan(routes)) return
        routes = table
        listener.onRoutes(table)
    }

    /** One connection to one control instance. */
    private inner class Connection(val address: Address) : StreamObserver<SessionDown> {
        private val channel: ManagedChannel = openChannel(address, group)
        private val requestStream: StreamObserver<SessionUp> = ControlServiceGrpc.newStub(channel).session(this)
        private val sentAtMs = LinkedHashMap<Long, Long>()
        private var sequence = 0L
        private var replied = false
        private var ended = false

        fun open() {
            val currentHello = hello.toBuilder().setRevision(revision.value)
            requestStream.onNext(SessionUp.newBuilder().setHello(currentHello).build())
            sendHeartbeat()
        }

        fun isOverdue(nowMs: Long): Boolean {
            val oldest = sentAtMs.values.firstOrNull() ?: return false
            return nowMs - oldest > if (replied) REPLY_TIMEOUT_MS else FIRST_REPLY_TIMEOUT_MS
        }

        fun sendHeartbeat() {
            if (ended) return
            sequence += 1
            sentAtMs[sequence] = timers.nowMs()
            val heartbeat = listener.heartbeat().setSequence(sequence).setRevision(revision.value)
            requestStream.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        }

        fun end() {
            if (ended) return
            ended = true
            channel.shutdownNow()
            connectionEnded(this)
        }

        override fun onNext(message: SessionDown) {
            if (ended) return
            replied = true
            when (message.kindCase) {
                SessionDown.KindCase.HEARTBEAT_REPLY -> onReply(message.heartbeatReply)
                SessionDown.KindCase.CONFIGURATION -> applyConfiguration(message.configuration.toModel())
                SessionDown.KindCase.ROUTES -> applyRoutes(message.routes.toModel())
                SessionDown.KindCase.NOT_LEADER -> onNotLeader(message.notLeader.leader)
                else -> logger.warn { "ignoring unknown message from control instance $address" }
            }
        }

        private fun onReply(reply: HeartbeatReply) {
            val sent = sentAtMs[reply.sequence] ?: return
            sentAtMs.keys.removeIf { it <= reply.sequence }
            if (reply.term < term) {
                logger.warn { "control instance $address replied with outdated term ${reply.term}; disconnecting" }
                end()
                return
            }
            term = reply.term
            if (leader != address) logger.info { "session with control leader $address in term $term" }
            leader = address
            listener.onReply(reply, sent)
        }

        private fun onNotLeader(leaderAddress: String) {
            leaderHint = Address.parse(leaderAddress).component1()?.takeIf { it != address }
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
        const val REPLY_CHECK_INTERVAL_MS = 250L

        /**
         * With one heartbeat per second, the connection to a frozen leader is closed after at most 2.75 s. Two further
         * instances that do not reply take another 1.8 s, so the search ends before the lease of 6 s expires.
         */
        const val REPLY_TIMEOUT_MS = 1_500L
        const val FIRST_REPLY_TIMEOUT_MS = 700L
        const val RECONNECT_DELAY_MS = 100L
    }
}
