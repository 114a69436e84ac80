package org.bramleyspur.daemon.forward

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.traffic.forward.HeldBytes
import java.net.InetSocketAddress

/**
 * HTTP/1.1 server for callers; runs on the single thread of [group].
 *
 * @property heldBoundBytes what may be held for all callers together: bodies, and responses that they have not taken
 */
internal class FrontServer(
    private val group: EventLoopGroup,
    private val context: ForwardContext,
    private val heldBoundBytes: Long = DEFAULT_HELD_BYTES,
) {
    private val connections = LinkedHashSet<FrontConnection>()
    private var listener: Channel? = null

    /** When the process ends at the latest, after the start of a planned stop. */
    private var endsAtMs: Long? = null
    private var closesListener = false

    /** Whether connections without a request in progress are closed. */
    var closesIdle = false
        private set

    /** Whether a planned stop has let every request end, and has closed the connections. */
    val drained: Boolean get() = closesIdle && connections.none { it.busy }

    /** Number of connections on which a request is being read or a response is being sent. */
    val runningRequests: Int get() = connections.count { it.busy }

    private var held = HeldBytes(heldBoundBytes)
    private var writtenBytes = 0L
    private var callerLimitBytes = HeldBytes.MAX_CALLER_BYTES

    /** Limits of the current configuration document; defaults before the first one. */
    val limits: ClientLimits get() = context.routes?.document?.limits ?: ClientLimits()

    /** Whether responses carry `Connection: close`. */
    val closesConnections: Boolean get() = endsAtMs != null

    /** Time in milliseconds until the process ends; null unless a planned stop has closed the listener. */
    val remainingMs: Long? get() = endsAtMs?.takeIf { closesListener }?.let { it - context.timers.nowMs() }

    /** Listens on [address] and returns the bound port. */
    fun start(address: Address): Int {
        val bound = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            // All waiting connections are accepted before a task closes the listener, which would reset them.
            .option(ChannelOption.MAX_MESSAGES_PER_READ, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        val connection = FrontConnection(this@FrontServer, context, channel)
                        val codec = HttpServerCodec(UNLIMITED_BYTES, UNLIMITED_BYTES, MAX_CHUNK_BYTES)
                        channel.pipeline().addLast(connection.byteObserver, codec, connection)
                    }
                },
            ).listen(address)
        listener = bound
        context.timers.every(HELD_CHECK_INTERVAL_MS) { updateHeldBytes() }
        context.timers.every(TIMEOUT_CHECK_INTERVAL_MS) { connections.toList().forEach { it.closeIfTimedOut() } }
        return (bound.localAddress() as InetSocketAddress).port
    }

    /** Sums up what is held for all callers, and sets the limit of each one. */
    private fun updateHeldBytes() {
        writtenBytes = 0
        held = HeldBytes(heldBoundBytes, connections.sumOf { it.bodyBytes }, connections.sumOf { it.unsentBytes })
        context.metrics.onHeldBytes(held.bodyBytes, held.responseBytes)
        val limit = held.callerLimitBytes()
        if (limit == callerLimitBytes) return
        context.log.write(
            "caller-limit",
            "bytes" to limit,
            "before" to callerLimitBytes,
            "bodies" to held.bodyBytes,
            "responses" to held.responseBytes,
            "connections" to connections.size,
        )
        callerLimitBytes = limit
        connections.forEach { it.limitUnsent(limit) }
    }

    /** Bytes that are held for callers now. */
    val heldBytes: Long get() = connections.sumOf { it.bodyBytes + it.unsentBytes }

    /** Records that [bytes] of a response were written; the limits follow after some of them. */
    fun onWritten(bytes: Int) {
        writtenBytes += bytes
        if (writtenBytes >= heldBoundBytes / CHECKS_PER_BOUND) updateHeldBytes()
    }

    /** Whether a body of [bytes] may be read beside what is held. */
    fun takesBody(bytes: Long): Boolean = held.takesBody(bytes)

    fun onOpen(connection: FrontConnection) {
        connections += connection
        connection.limitUnsent(callerLimitBytes)
        if (closesIdle) connection.close()
    }

    fun onClosed(connection: FrontConnection) {
        connections -= connection
    }

    /**
     * Begins a planned stop that lasts [durationMs] at most: sends `Connection: close` with each further response; open
     * connections are still served.
     */
    fun beginStop(durationMs: Long) {
        endsAtMs = context.timers.nowMs() + durationMs
    }

    /**
     * Stops accepting connections, after those that wait to be accepted. The open ones are closed as soon as no request
     * is in progress on them, but not before [IDLE_CLOSE_DELAY_MS], since the request of one that was just accepted may
     * not have been read yet.
     */
    fun closeListener() {
        closesListener = true
        // Closing at once would reset the connections that the thread has not accepted yet.
        context.timers.after(LISTENER_CLOSE_DELAY_MS) {
            listener?.close()
            // The delay begins when the last connections were accepted, however late the thread is.
            context.timers.after(IDLE_CLOSE_DELAY_MS) { closeIdleAfterReading() }
        }
    }

    /** Closes idle connections after one more pass, which reads what arrived while the thread was busy. */
    private fun closeIdleAfterReading() {
        context.timers.after(NEXT_PASS_DELAY_MS) { closeIdle() }
    }

    /** Closes the open connections as soon as no request is in progress on them. */
    fun closeIdle() {
        closesIdle = true
        connections.toList().filter { !it.busy }.forEach { it.close() }
    }

    /** Ends the requests that are still running with the answers that their progress allows. */
    fun endRunning() = connections.toList().forEach { it.endRunning() }

    private companion object {
        /** Less than half of the direct memory that the roles are started with. */
        const val DEFAULT_HELD_BYTES = 24L * 1024 * 1024
        const val ACCEPT_BACKLOG = 1024

        /** The connection applies the limits, which can change while it is open. */
        const val UNLIMITED_BYTES = 1 shl 30
        const val MAX_CHUNK_BYTES = 64 * 1024

        /** Longer than one pass of the event loop. */
        const val LISTENER_CLOSE_DELAY_MS = 20L

        /** Longer than the round trip to a caller. */
        const val IDLE_CLOSE_DELAY_MS = 250L

        /** A timer that is set by another one runs after the thread has read what has arrived. */
        const val NEXT_PASS_DELAY_MS = 1L

        /** The limits follow at least each time that this part of the bound was written. */
        const val CHECKS_PER_BOUND = 64

        /** At the speed of an instance's link, little arrives in this time. */
        const val HELD_CHECK_INTERVAL_MS = 100L

        /** Longest delay in enforcing the time limits of connections. */
        const val TIMEOUT_CHECK_INTERVAL_MS = 200L
    }
}
