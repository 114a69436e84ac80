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

/** Requests confirmations from the agents of a replica's other members, over one persistent channel per agent. */
class ConfirmClient(private val group: EventLoopGroup) : AutoCloseable {
    private val channels = HashMap<String, ManagedChannel>()

    /** Requests a confirmation from the agent at [address]; [onReply] is not called if no reply arrives in time. */
    fun requestConfirmation(address: String, request: ConfirmRequest, onReply: (ConfirmReply) -> Unit) {
        val target = Address.parse(address).component1() ?: return
        val channel = channels.getOrPut(address) { openChannel(target, group) }
        channel.reconnectNow()
        AgentServiceGrpc
            .newStub(channel)
            .withDeadlineAfter(request.grantMs.toLong(), TimeUnit.MILLISECONDS)
            .confirm(request, ReplyObserver(onReply))
    }

    /** Closes the channels to agents that are not in [addresses]. */
    fun closeAllExcept(addresses: Set<String>) {
        val unused = channels.keys - addresses
        unused.forEach { channels.remove(it)?.shutdownNow() }
    }

    override fun close() = closeAllExcept(emptySet())

    private class ReplyObserver(private val onReply: (ConfirmReply) -> Unit) : StreamObserver<ConfirmReply> {
        override fun onNext(reply: ConfirmReply) = onReply(reply)

        // The assignment state machine reacts to the missing confirmation, whatever its cause.
        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit
    }
}
