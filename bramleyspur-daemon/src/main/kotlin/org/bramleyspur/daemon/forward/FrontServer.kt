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
import java.net.InetSocketAddress

/** HTTP/1.1 server for callers; runs on the single thread of [group]. */
internal class FrontServer(private val group: EventLoopGroup, private val context: ForwardContext) {
    private val connections = LinkedHashSet<FrontConnection>()
    private var listener: Channel? = null
    private var stopping = false

    /** Whether connections without a request in progress are closed. */
    var closesIdle = false
        private set

    /** Number of connections on which a request is being read or a response is being sent. */
    val runningRequests: Int get() = connections.count { it.busy }

    /** Limits of the current configuration document; defaults before the first one. */
    val limits: ClientLimits get() = context.routes?.document?.limits ?: ClientLimits()

    /** Whether responses carry `Connection: close`. */
    val closesConnections: Boolean get() = stopping

    /** Listens on [address] and returns the bound port. */
    fun start(address: Address): Int {
        val bound = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
        context.timers.every(TIMEOUT_CHECK_INTERVAL_MS) { connections.toList().forEach { it.closeIfTimedOut() } }
        return (bound.localAddress() as InetSocketAddress).port
    }

    fun onOpen(connection: FrontConnection) {
        connections += connection
        if (closesIdle) connection.close()
    }

    fun onClosed(connection: FrontConnection) {
        connections -= connection
    }

    /** Sends `Connection: close` with each further response; open connections are still served. */
    fun beginStop() {
        stopping = true
    }

    /** Stops accepting connections, and closes the open ones as soon as no request is in progress on them. */
    fun closeIdle() {
        closesIdle = true
        listener?.close()
        connections.toList().filter { !it.busy }.forEach { it.close() }
    }

    /** Ends the requests that are still running with the answers that their progress allows. */
    fun endRunning() = connections.toList().forEach { it.endRunning() }

    private companion object {
        const val ACCEPT_BACKLOG = 1024

        /** The connection applies the limits, which can change while it is open. */
        const val UNLIMITED_BYTES = 1 shl 30
        const val MAX_CHUNK_BYTES = 64 * 1024

        /** Longest delay in enforcing the time limits of connections. */
        const val TIMEOUT_CHECK_INTERVAL_MS = 200L
    }
}
