/*
 * Sends the attempts of an entry to agents. One HTTP/2 connection is kept open to each agent that has a route; each
 * attempt is one stream on it.
 */
package org.bramleyspur.daemon.agent

import com.google.protobuf.ByteString
import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientResponseObserver
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.daemon.process.reconnectNow
import org.bramleyspur.protocol.AgentServiceGrpc
import org.bramleyspur.protocol.BodyPart
import org.bramleyspur.protocol.Cancel
import org.bramleyspur.protocol.ExecuteEvent
import org.bramleyspur.protocol.ExecuteRequest
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import org.bramleyspur.protocol.Start
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/** Receives the events of one attempt on the traffic thread. */
interface AttemptListener {
    /** Handles an event of the agent. Further events are delivered only after [AttemptCall.requestMore]. */
    fun onEvent(event: ExecuteEvent)

    /** The connection accepts more body data. */
    fun onReady()

    /** The stream ended; [written] is true if the agent may have received a part of the attempt. */
    fun onClosed(written: Boolean)
}

/** An attempt in progress. */
interface AttemptCall {
    /** Whether the connection accepts more body data. */
    val ready: Boolean

    /** Sends a part of the request body. */
    fun sendBody(data: ByteString, last: Boolean)

    /** Requests the next event. */
    fun requestMore()

    /** Requests the agent to cancel; it replies with an event that states whether the attempt had begun. */
    fun cancel(reason: String)

    /** Closes the stream immediately; the listener receives no further events. */
    fun drop()
}

/** Sends attempts and lookups to agents; used by the traffic thread only. */
class AgentClient(private val group: EventLoopGroup, private val timers: TimerService) : AutoCloseable {
    private val connections = HashMap<String, AgentConnection>()

    /** Starts the liveness checks of agents that run attempts. */
    fun start() {
        timers.every(LIVENESS_CHECK_INTERVAL_MS) { connections.values.forEach { it.checkLiveness() } }
    }

    /** Starts an attempt at the agent with [address]. */
    fun execute(address: String, start: Start, listener: AttemptListener): AttemptCall {
        val connection = connection(address)
        val attempt = Attempt(listener, connection, group.next())
        val stub = AgentServiceGrpc.newStub(connection.channel)
        stub.withInterceptors(attempt.tracerInterceptor()).execute(attempt)
        attempt.send(ExecuteRequest.newBuilder().setStart(start).build())
        return attempt
    }

    /** Queries the state of an attempt; [onReply] gets null if no reply arrives within [LOOKUP_TIMEOUT_MS]. */
    fun lookup(address: String, request: LookupRequest, onReply: (LookupReply?) -> Unit) {
        AgentServiceGrpc
            .newStub(connection(address).channel)
            .withDeadlineAfter(LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .lookup(request, LookupReplyObserver(onReply))
    }

    /** Closes the connections to agents that are not in [addresses] after their running attempts have ended. */
    fun closeAllExcept(addresses: Set<String>) {
        val unused = connections.keys - addresses
        unused.forEach { connections.remove(it)?.channel?.shutdown() }
    }

    /** Opens the connection to [address] before the first attempt uses it. */
    fun preconnect(address: String) {
        connection(address).channel.getState(true)
    }

    override fun close() {
        connections.values.forEach { it.channel.shutdownNow() }
        connections.clear()
    }

    private fun connection(address: String): AgentConnection = connections.getOrPut(address) {
        val target = Address.parse(address).component1() ?: error("agent address $address is malformed")
        AgentConnection(openChannel(target, group), timers)
    }.also { it.channel.reconnectNow() }

    private class Attempt(
        private val listener: AttemptListener,
        private val connection: AgentConnection,
        private val trafficExecutor: Executor,
    ) : ClientResponseObserver<ExecuteRequest, ExecuteEvent>,
        AttemptCall,
        RemoteAttempt {
        private lateinit var requestStream: ClientCallStreamObserver<ExecuteRequest>
        private val writeTracer = WriteTracer()
        private var closed = false
        private var halfClosed = false

        fun tracerInterceptor() = TracerInterceptor(writeTracer)

        override fun beforeStart(stream: ClientCallStreamObserver<ExecuteRequest>) {
            requestStream = stream
            connection.add(this)
            stream.disableAutoRequestWithInitial(INITIAL_EVENT_REQUESTS)
            stream.setOnReadyHandler { if (!closed) listener.onReady() }
        }

        override val ready: Boolean get() = !closed && requestStream.isReady

        fun send(message: ExecuteRequest) {
            if (!closed && !halfClosed) requestStream.onNext(message)
        }

        override fun sendBody(data: ByteString, last: Boolean) {
            val part = BodyPart.newBuilder().setData(data).setLast(last)
            send(ExecuteRequest.newBuilder().setBody(part).build())
        }

        override fun requestMore() {
            if (!closed) requestStream.request(1)
        }

        override fun cancel(reason: String) {
            send(ExecuteRequest.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)).build())
        }

        override fun drop() {
            if (closed) return
            closed = true
            connection.remove(this)
            requestStream.cancel("attempt dropped", null)
        }

        override fun failAsLost() {
            end()
            requestStream.cancel("the agent is unresponsive", null)
        }

        override fun onNext(event: ExecuteEvent) {
            connection.onReceived()
            if (!closed) listener.onEvent(event)
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() {
            if (!halfClosed) {
                halfClosed = true
                requestStream.onCompleted()
            }
            end()
        }

        private fun end() {
            if (closed) return
            closed = true
            connection.remove(this)
            // The call can fail during its start, before [execute] has returned the attempt to its owner.
            trafficExecutor.execute { listener.onClosed(writeTracer.written) }
        }
    }

    private class LookupReplyObserver(private val onReply: (LookupReply?) -> Unit) : StreamObserver<LookupReply> {
        private var replied = false

        override fun onNext(reply: LookupReply) {
            replied = true
            onReply(reply)
        }

        override fun onError(cause: Throwable) {
            if (!replied) onReply(null)
        }

        override fun onCompleted() = Unit
    }

    companion object {
        /** An agent that does not reply within this time counts as unreachable. */
        const val LOOKUP_TIMEOUT_MS = 500L

        private const val INITIAL_EVENT_REQUESTS = 32
        private const val LIVENESS_CHECK_INTERVAL_MS = 250L
    }
}

/** Records whether a message of a stream was written to a connection. */
private class WriteTracer : ClientStreamTracer() {
    @Volatile
    var written = false
        private set

    override fun outboundMessage(sequence: Int) {
        written = true
    }
}

/** Installs [tracer] on the single call that it is used for. */
private class TracerInterceptor(private val tracer: WriteTracer) : ClientInterceptor {
    override fun <ReqT, RespT> interceptCall(
        method: MethodDescriptor<ReqT, RespT>,
        options: CallOptions,
        next: Channel,
    ): ClientCall<ReqT, RespT> = next.newCall(method, options.withStreamTracerFactory(Factory(tracer)))

    private class Factory(private val tracer: WriteTracer) : ClientStreamTracer.Factory() {
        override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) = tracer
    }
}
