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
import java.net.InetSocketAddress

/** Serves callers over HTTP/1.1 on the one thread of [group]. */
internal class FrontServer(private val group: EventLoopGroup, private val context: ForwardContext) {
    private val connections = LinkedHashSet<FrontConnection>()
    private var listener: Channel? = null
    private var stopping = false

    /** Requests that run. */
    val running: Int get() = connections.count { it.busy }

    /** Limits of the document in force. */
    val limits: ClientLimits get() = context.routes?.document?.limits ?: ClientLimits()

    /** Whether answers ask callers to use another connection from now on. */
    val closesConnections: Boolean get() = stopping

    /** Starts to listen on [address]; returns the bound port. */
    fun start(address: Address): Int {
        val bound = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        val connection = FrontConnection(this@FrontServer, context, channel)
                        val codec = HttpServerCodec(MAX_LINE_BYTES, limits.maxHeaderBytes, MAX_CHUNK_BYTES)
                        channel.pipeline().addLast(connection.byteWatch, codec, connection)
                    }
                },
            ).bind(address.toSocketAddress())
            .sync()
            .channel()
        listener = bound
        context.timers.every(SWEEP_MS) { connections.toList().forEach { it.sweep() } }
        return (bound.localAddress() as InetSocketAddress).port
    }

    /** A connection has opened. */
    fun onOpen(connection: FrontConnection) {
        connections += connection
    }

    /** A connection has closed. */
    fun onClosed(connection: FrontConnection) {
        connections -= connection
    }

    /** From now on, answers ask callers to leave; kept connections still serve. */
    fun beginStop() {
        stopping = true
    }

    /** Takes no new connections, and closes the kept ones on which no request runs. */
    fun closeIdle() {
        listener?.close()
        connections.toList().filter { !it.busy }.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 1024
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024

        /** Time limits of connections are met within this time. */
        const val SWEEP_MS = 200L
    }
}
