/*
 * Calls to the control instances. gRPC's own retries and load balancing are off, so that the client decides which
 * instance an attempt goes to and knows whether a failed attempt can have reached it.
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

/** Result of one attempt of a call, which goes to one instance. */
internal sealed interface AttemptResult<out R> {
    data class Replied<R>(val reply: R) : AttemptResult<R>

    /** The call was not sent, or the instance does not implement the method, so it had no effect. */
    data class NotExecuted(val reason: String) : AttemptResult<Nothing>

    /** The call may have reached the instance, but no reply arrived. */
    data class NoReply(val reason: String) : AttemptResult<Nothing>
}

/** Connections to control instances, opened when first used. */
internal class ControlCalls : AutoCloseable {
    private val channels = mutableMapOf<ControlAddress, ManagedChannel>()

    /** Makes one attempt, which times out after [timeoutMs] milliseconds. */
    fun <R> call(address: ControlAddress, timeoutMs: Long, send: (ControlServiceBlockingStub) -> R): AttemptResult<R> {
        val detector = SendDetector()
        val stub = ControlServiceGrpc
            .newBlockingStub(channels.getOrPut(address) { connect(address) })
            .withInterceptors(detector)
            .withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            AttemptResult.Replied(send(stub))
        } catch (e: StatusRuntimeException) {
            val reason = "$address: ${e.status.code}${e.status.description?.let { " ($it)" }.orEmpty()}"
            val notExecuted = !detector.sent.get() || e.status.code == Status.Code.UNIMPLEMENTED
            if (notExecuted) AttemptResult.NotExecuted(reason) else AttemptResult.NoReply(reason)
        }
    }

    override fun close() = channels.values.forEach { it.shutdownNow() }

    private fun connect(address: ControlAddress): ManagedChannel = NettyChannelBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .usePlaintext()
        .disableRetry()
        .build()
}

/** Detects whether gRPC created a stream for a call. A call without a stream cannot have had an effect. */
private class SendDetector : ClientInterceptor {
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
