/*
 * Messages between the control members, over one stream in each direction per pair. Messages may be lost, since the
 * consensus rules retransmit.
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

/** Sends messages to the other control members; confined to the control thread. */
class PeerTransport(private val group: EventLoopGroup) : AutoCloseable {
    private val peers = HashMap<String, Peer>()

    /**
     * Records a message from the member at [address]. A connection can fail without a reset, so it is reopened when
     * messages are sent over it while none arrive from the member.
     */
    fun onMessageFrom(address: String) {
        peers[address]?.lastReceivedMs = monotonicMs()
    }

    /** Sends [message] to the member at [address]; drops it when the member cannot be reached. */
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
        private var openedAtMs = monotonicMs()
        var lastReceivedMs = openedAtMs
        private var stream: PeerStream? = null

        private fun reopenIfUnresponsive() {
            val now = monotonicMs()
            if (now - maxOf(lastReceivedMs, openedAtMs) <= UNRESPONSIVE_LIMIT_MS) return
            channel?.shutdownNow()
            channel = target?.let { openChannel(it, group) }
            stream = null
            openedAtMs = now
        }

        fun send(message: ConsensusMessage) {
            reopenIfUnresponsive()
            val target = channel ?: return
            val current = stream?.takeIf { !it.ended } ?: PeerStream(target).also { stream = it }
            if (!current.ended) current.send(message)
        }
    }

    /** A stream to a peer. It can end while it is being opened when the peer cannot be reached. */
    private class PeerStream(channel: ManagedChannel) : StreamObserver<ConsensusAck> {
        var ended = false
            private set
        private val requestStream: StreamObserver<ConsensusMessage>

        init {
            channel.reconnectNow()
            requestStream = ConsensusServiceGrpc.newStub(channel).messages(this)
        }

        fun send(message: ConsensusMessage) = requestStream.onNext(message)

        override fun onNext(message: ConsensusAck) = Unit

        override fun onError(cause: Throwable) {
            ended = true
        }

        override fun onCompleted() {
            ended = true
        }
    }
}

/** Ten heartbeat intervals of a leader; a running member replies to each heartbeat. */
private const val UNRESPONSIVE_LIMIT_MS = 1_000L

/** Receives the messages of the other control members. */
class PeerService(private val onMessage: (ConsensusMessage) -> Unit) : ConsensusServiceGrpc.ConsensusServiceImplBase() {
    override fun messages(acknowledgements: StreamObserver<ConsensusAck>): StreamObserver<ConsensusMessage> =
        object : StreamObserver<ConsensusMessage> {
            override fun onNext(message: ConsensusMessage) = onMessage(message)

            override fun onError(cause: Throwable) {
                logger.debug { "stream from a control member failed: ${cause.message}" }
            }

            override fun onCompleted() = acknowledgements.onCompleted()
        }
}
