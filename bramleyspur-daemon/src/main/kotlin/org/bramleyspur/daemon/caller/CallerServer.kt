package org.bramleyspur.daemon.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.ssl.SslContext
import io.netty.util.concurrent.GlobalEventExecutor
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.http.ResetDetector
import org.bramleyspur.daemon.http.WatchableServerChannel
import org.bramleyspur.daemon.http.listen
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** HTTP server for callers; passes requests to [handler]. All connections are encrypted if [tls] is set. */
class CallerServer(
    private val handler: CallerRequestHandler,
    private val limits: CallerLimits,
    private val tls: SslContext?,
) {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val resetDetector = ResetDetector()
    private var listener: Channel? = null

    @Volatile
    private var closing = false

    /** Whether the listener and the idle connections have been closed. */
    @Volatile
    var closed = false
        private set

    /** Starts listening on [address] and returns the bound port. */
    fun start(address: Address, group: EventLoopGroup): Int {
        val listeningChannel =
            ServerBootstrap()
                .group(group)
                .channelFactory(::WatchableServerChannel)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                // All waiting connections are accepted before a task closes the listener, which would reset them.
                .option(ChannelOption.MAX_MESSAGES_PER_READ, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(ConnectionInitializer())
                .listen(address)
        listener = listeningChannel
        return (listeningChannel.localAddress() as InetSocketAddress).port
    }

    /** Makes each further response the last one on its connection; new connections are still accepted. */
    fun beginClose() {
        closing = true
    }

    /**
     * Closes the listener, after the connections that wait to be accepted, and then idle connections; requests in
     * progress continue.
     */
    fun closeListener() {
        closing = true
        val loop = listener?.eventLoop() ?: return
        loop.schedule({
            listener?.close()
            // The delay begins when the last connections were accepted, however late the thread is.
            loop.schedule({ closeIdleAfterReading(loop) }, IDLE_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS)
        }, LISTENER_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    /** Closes idle connections after one more pass, which reads what arrived while the thread was busy. */
    private fun closeIdleAfterReading(loop: EventLoop) {
        loop.schedule({ closeIdle() }, NEXT_PASS_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    private fun closeIdle() {
        connections.forEach { channel ->
            channel.eventLoop().execute { channel.pipeline().get(CallerConnection::class.java)?.closeIfIdle() }
        }
        closed = true
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            if (tls != null) channel.pipeline().addLast(tls.newHandler(channel.alloc()))
            val config =
                HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
            val connection = CallerConnection(handler, limits, resetDetector) { closing }
            channel.pipeline().addLast(InboundByteHandler(connection), HttpServerCodec(config), connection)
        }
    }

    /** Notifies [connection] of received bytes before the codec has parsed a complete request head. */
    private class InboundByteHandler(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.onBytesReceived()
            super.channelRead(context, message)
        }
    }

    private companion object {
        const val BACKLOG = 1_024

        /** Longer than one pass of the event loop. */
        const val LISTENER_CLOSE_DELAY_MS = 20L

        /** Longer than the round trip to a caller, whose request may not have been read yet. */
        const val IDLE_CLOSE_DELAY_MS = 250L

        /** A timer that is set by another one runs after the thread has read what has arrived. */
        const val NEXT_PASS_DELAY_MS = 1L
        const val MAX_INITIAL_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 16 * 1024
    }
}
