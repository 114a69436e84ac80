/*
 * Request attempts of an entry at agents. One HTTP/2 connection is kept to each agent that has a route; each attempt is
 * one stream on it.
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
    /** Takes an event of the agent. Further events come only after [AttemptCall.requestMore]. */
    fun onEvent(event: ExecuteEvent)

    /** The connection takes more body data. */
    fun onReady()

    /** The stream ended; [written] tells whether any byte of the attempt can have reached the agent. */
    fun onClosed(written: Boolean)
}

/** An attempt in progress. */
interface AttemptCall {
    /** Whether the connection takes more body data now. */
    val ready: Boolean

    /** Sends a part of the request's body. */
    fun sendBody(data: ByteString, last: Boolean)

    /** Allows the next event. */
    fun requestMore()

    /** Asks the agent to cancel; it answers with an event that tells whether the attempt had begun. */
    fun cancel(reason: String)

    /** Drops the stream at once; the listener hears nothing more. */
    fun drop()
}

/** Sends attempts and lookups to agents; used by the traffic thread only. */
class AgentClient(private val group: EventLoopGroup, private val timers: TimerService) : AutoCloseable {
    private val connections = HashMap<String, AgentConnection>()

    /** Starts to watch the agents that run attempts. */
    fun start() {
        timers.every(CHECK_MS) { connections.values.forEach { it.check() } }
    }

    /** Starts an attempt at the agent with [address]. */
    fun execute(address: String, start: Start, listener: AttemptListener): AttemptCall {
        val connection = connection(address)
        val attempt = Attempt(listener, connection, group.next())
        val stub = AgentServiceGrpc.newStub(connection.channel)
        stub.withInterceptors(attempt.tracing()).execute(attempt)
        attempt.send(ExecuteRequest.newBuilder().setStart(start).build())
        return attempt
    }

    /** Asks about an attempt; [onReply] gets null when no answer comes within [LOOKUP_TIMEOUT_MS]. */
    fun lookup(address: String, request: LookupRequest, onReply: (LookupReply?) -> Unit) {
        AgentServiceGrpc
            .newStub(connection(address).channel)
            .withDeadlineAfter(LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .lookup(request, LookupAnswer(onReply))
    }

    /** Closes the connections to agents that are not in [addresses]; running attempts go on until they end. */
    fun keepOnly(addresses: Set<String>) {
        val unused = connections.keys - addresses
        unused.forEach { connections.remove(it)?.channel?.shutdown() }
    }

    /** Opens the connection to [address] before the first attempt needs it. */
    fun warm(address: String) {
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
        private val traffic: Executor,
    ) : ClientResponseObserver<ExecuteRequest, ExecuteEvent>,
        AttemptCall,
        RemoteAttempt {
        private lateinit var up: ClientCallStreamObserver<ExecuteRequest>
        private val sent = SentMark()
        private var closed = false
        private var halfClosed = false

        fun tracing() = TracerInterceptor(sent)

        override fun beforeStart(stream: ClientCallStreamObserver<ExecuteRequest>) {
            up = stream
            connection.add(this)
            stream.disableAutoRequestWithInitial(INITIAL_EVENTS)
            stream.setOnReadyHandler { if (!closed) listener.onReady() }
        }

        override val ready: Boolean get() = !closed && up.isReady

        fun send(message: ExecuteRequest) {
            if (!closed && !halfClosed) up.onNext(message)
        }

        override fun sendBody(data: ByteString, last: Boolean) {
            val part = BodyPart.newBuilder().setData(data).setLast(last)
            send(ExecuteRequest.newBuilder().setBody(part).build())
        }

        override fun requestMore() {
            if (!closed) up.request(1)
        }

        override fun cancel(reason: String) {
            send(ExecuteRequest.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)).build())
        }

        override fun drop() {
            if (closed) return
            closed = true
            connection.remove(this)
            up.cancel("attempt dropped", null)
        }

        override fun giveUp() {
            end()
            up.cancel("the agent does not answer", null)
        }

        override fun onNext(event: ExecuteEvent) {
            connection.onHeard()
            if (!closed) listener.onEvent(event)
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() {
            if (!halfClosed) {
                halfClosed = true
                up.onCompleted()
            }
            end()
        }

        private fun end() {
            if (closed) return
            closed = true
            connection.remove(this)
            // The call can fail while it is being started, before its owner has recorded the attempt.
            traffic.execute { listener.onClosed(sent.written) }
        }
    }

    private class LookupAnswer(private val onReply: (LookupReply?) -> Unit) : StreamObserver<LookupReply> {
        private var answered = false

        override fun onNext(reply: LookupReply) {
            answered = true
            onReply(reply)
        }

        override fun onError(cause: Throwable) {
            if (!answered) onReply(null)
        }

        override fun onCompleted() = Unit
    }

    companion object {
        /** An agent that does not answer within this time counts as unreachable. */
        const val LOOKUP_TIMEOUT_MS = 500L

        private const val INITIAL_EVENTS = 32
        private const val CHECK_MS = 250L
    }
}

/** Whether a message of a stream was handed to a connection. */
private class SentMark : ClientStreamTracer() {
    @Volatile
    var written = false
        private set

    override fun outboundMessage(sequence: Int) {
        written = true
    }
}

/** Installs [mark] on the one call that it is used for. */
private class TracerInterceptor(private val mark: SentMark) : ClientInterceptor {
    override fun <Q, A> interceptCall(
        method: MethodDescriptor<Q, A>,
        options: CallOptions,
        next: Channel,
    ): ClientCall<Q, A> = next.newCall(method, options.withStreamTracerFactory(Factory(mark)))

    private class Factory(private val mark: SentMark) : ClientStreamTracer.Factory() {
        override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) = mark
    }
}
