/*
 * Messages between the control members: one stream in each direction of each pair. Losing a message is allowed, since
 * the consensus rules send again.
 */
package org.bramleyspur.daemon.member

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.monotonicMs
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.daemon.process.reconnectNow
import org.bramleyspur.protocol.ConsensusAck
import org.bramleyspur.protocol.ConsensusMessage
import org.bramleyspur.protocol.ConsensusServiceGrpc

private val logger = KotlinLogging.logger {}

/** Sends messages to the other control members; used by the control thread only. */
class PeerTransport(private val group: EventLoopGroup) : AutoCloseable {
    private val peers = HashMap<String, Peer>()

    /**
     * Notes a message from the member at [address]. A connection can go dead without a reset, so one over which
     * messages are sent while none arrive from the member is opened anew.
     */
    fun onHeard(address: String) {
        peers[address]?.heardMs = monotonicMs()
    }

    /** Sends [message] to the member at [address]; drops it when that cannot be done now. */
    fun send(address: String, message: ConsensusMessage) {
        val peer = peers.getOrPut(address) { Peer(address) }
        peer.send(message)
    }

    override fun close() {
        peers.values.forEach { it.channel?.shutdownNow() }
    }

    private inner class Peer(private val address: String) {
        private val target: Address? = Address.parse(address).component1()
        var channel: ManagedChannel? = target?.let { openChannel(it, group) }
            private set
        private var openedMs = monotonicMs()
        var heardMs = openedMs
        private var stream: PeerStream? = null

        private fun reopenIfSilent() {
            val now = monotonicMs()
            if (now - maxOf(heardMs, openedMs) <= SILENT_MS) return
            channel?.shutdownNow()
            channel = target?.let { openChannel(it, group) }
            stream = null
            openedMs = now
        }

        fun send(message: ConsensusMessage) {
            reopenIfSilent()
            val target = channel ?: return
            val current = stream?.takeIf { !it.ended } ?: PeerStream(target).also { stream = it }
            if (!current.ended) current.send(message)
        }
    }

    /** One stream to a peer. The stream can end while it is being opened, when the peer cannot be reached. */
    private class PeerStream(channel: ManagedChannel) : StreamObserver<ConsensusAck> {
        var ended = false
            private set
        private val up: StreamObserver<ConsensusMessage>

        init {
            channel.reconnectNow()
            up = ConsensusServiceGrpc.newStub(channel).messages(this)
        }

        fun send(message: ConsensusMessage) = up.onNext(message)

        override fun onNext(message: ConsensusAck) = Unit

        override fun onError(cause: Throwable) {
            ended = true
        }

        override fun onCompleted() {
            ended = true
        }
    }
}

/** Ten heartbeats of a leader; a member that is up answers each. */
private const val SILENT_MS = 1_000L

/** Receives the messages of the other control members. */
class PeerService(private val onMessage: (ConsensusMessage) -> Unit) : ConsensusServiceGrpc.ConsensusServiceImplBase() {
    override fun messages(answers: StreamObserver<ConsensusAck>): StreamObserver<ConsensusMessage> =
        object : StreamObserver<ConsensusMessage> {
            override fun onNext(message: ConsensusMessage) = onMessage(message)

            override fun onError(cause: Throwable) {
                logger.debug { "stream of a control member ended: ${cause.message}" }
            }

            override fun onCompleted() = answers.onCompleted()
        }
}
