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
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.protocol.ConsensusAck
import org.bramleyspur.protocol.ConsensusMessage
import org.bramleyspur.protocol.ConsensusServiceGrpc

private val logger = KotlinLogging.logger {}

/** Sends messages to the other control members; used by the control thread only. */
class PeerTransport(private val group: EventLoopGroup) : AutoCloseable {
    private val peers = HashMap<String, Peer>()

    /** Sends [message] to the member at [address]; drops it when that cannot be done now. */
    fun send(address: String, message: ConsensusMessage) {
        val peer = peers.getOrPut(address) { Peer(address) }
        peer.send(message)
    }

    override fun close() {
        peers.values.forEach { it.channel?.shutdownNow() }
    }

    private inner class Peer(private val address: String) {
        val channel: ManagedChannel? = Address.parse(address).component1()?.let { openChannel(it, group) }
        private var stream: StreamObserver<ConsensusMessage>? = null

        fun send(message: ConsensusMessage) {
            val open = stream ?: open() ?: return
            open.onNext(message)
        }

        private fun open(): StreamObserver<ConsensusMessage>? {
            val target = channel ?: return null
            lateinit var opened: StreamObserver<ConsensusMessage>
            opened = ConsensusServiceGrpc.newStub(target).messages(Ended { if (stream === opened) stream = null })
            stream = opened
            return opened
        }
    }

    private class Ended(private val onEnd: () -> Unit) : StreamObserver<ConsensusAck> {
        override fun onNext(message: ConsensusAck) = Unit

        override fun onError(cause: Throwable) = onEnd()

        override fun onCompleted() = onEnd()
    }
}

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
