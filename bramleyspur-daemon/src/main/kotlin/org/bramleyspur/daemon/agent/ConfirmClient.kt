package org.bramleyspur.daemon.agent

import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.daemon.process.reconnectNow
import org.bramleyspur.protocol.AgentServiceGrpc
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import java.util.concurrent.TimeUnit

/** Asks the agents of a replica's other members for confirmations, over one kept channel for each. */
class ConfirmClient(private val group: EventLoopGroup) : AutoCloseable {
    private val channels = HashMap<String, ManagedChannel>()

    /** Asks the agent at [address]; [onReply] is not called when no answer comes within the grant's time. */
    fun ask(address: String, request: ConfirmRequest, onReply: (ConfirmReply) -> Unit) {
        val target = Address.parse(address).component1() ?: return
        val channel = channels.getOrPut(address) { openChannel(target, group) }
        channel.reconnectNow()
        AgentServiceGrpc
            .newStub(channel)
            .withDeadlineAfter(request.grantMs.toLong(), TimeUnit.MILLISECONDS)
            .confirm(request, Answer(onReply))
    }

    /** Closes the channels to agents that are not in [addresses]. */
    fun keepOnly(addresses: Set<String>) {
        val unused = channels.keys - addresses
        unused.forEach { channels.remove(it)?.shutdownNow() }
    }

    override fun close() = keepOnly(emptySet())

    private class Answer(private val onReply: (ConfirmReply) -> Unit) : StreamObserver<ConfirmReply> {
        override fun onNext(reply: ConfirmReply) = onReply(reply)

        // A missing confirmation is what the assignment machine reacts to; the cause does not matter to it.
        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit
    }
}
