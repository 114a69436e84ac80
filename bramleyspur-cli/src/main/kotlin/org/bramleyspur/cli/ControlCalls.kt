/*
 * Calls of the control instances. gRPC's own retries and load balancing are off: this file decides where a call goes
 * next, and whether a call that failed can have reached an instance.
 */
package org.bramleyspur.cli

import io.grpc.Attributes
import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.ControlServiceGrpc.ControlServiceBlockingStub
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Result of one call to one instance. */
internal sealed interface Attempt<out R> {
    /** The instance replied. */
    data class Replied<R>(val reply: R) : Attempt<R>

    /** The call never left this process, or the instance did not know the method. */
    data class NotSent(val reason: String) : Attempt<Nothing>

    /** The call may have reached the instance. */
    data class Lost(val reason: String) : Attempt<Nothing>
}

/** Connections to control instances, opened when first used. */
internal class ControlCalls : AutoCloseable {
    private val channels = mutableMapOf<ControlAddress, ManagedChannel>()

    /** Makes one call that ends after [timeoutMs] milliseconds. */
    fun <R> call(address: ControlAddress, timeoutMs: Long, send: (ControlServiceBlockingStub) -> R): Attempt<R> {
        val sent = SentDetector()
        val stub = ControlServiceGrpc
            .newBlockingStub(channels.getOrPut(address) { connect(address) })
            .withInterceptors(sent)
            .withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            Attempt.Replied(send(stub))
        } catch (e: StatusRuntimeException) {
            val reason = "$address: ${e.status.code}${e.status.description?.let { " ($it)" }.orEmpty()}"
            val notRun = !sent.sent.get() || e.status.code == Status.Code.UNIMPLEMENTED
            if (notRun) Attempt.NotSent(reason) else Attempt.Lost(reason)
        }
    }

    override fun close() = channels.values.forEach { it.shutdownNow() }

    private fun connect(address: ControlAddress): ManagedChannel = NettyChannelBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .usePlaintext()
        .disableRetry()
        .build()
}

/** Notes whether a call was given to a connection. Without that, the call cannot have had an effect. */
private class SentDetector : ClientInterceptor {
    val sent = AtomicBoolean(false)

    override fun <Q, R> interceptCall(
        method: MethodDescriptor<Q, R>,
        options: CallOptions,
        next: Channel,
    ): ClientCall<Q, R> = next.newCall(
        method,
        options.withStreamTracerFactory(
            object : ClientStreamTracer.Factory() {
                override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
                    object : ClientStreamTracer() {
                        override fun streamCreated(attributes: Attributes, headers: Metadata) = sent.set(true)
                    }
            },
        ),
    )
}
