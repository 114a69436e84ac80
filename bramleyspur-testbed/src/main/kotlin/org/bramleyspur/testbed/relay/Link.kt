/*
 * One relayed link: listens on one address, forwards each connection to another, and injects network faults on command.
 */
package org.bramleyspur.testbed.relay

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listen
import java.net.InetSocketAddress
import java.util.Random
import java.util.concurrent.TimeUnit

/** Directions of a link to which a command applies. */
@Serializable
enum class Direction {
    /** From the listening side to the target. */
    @SerialName("forward")
    FORWARD,

    /** From the target to the listening side. */
    @SerialName("backward")
    BACKWARD,

    /** Both directions. */
    @SerialName("both")
    BOTH,
    ;

    internal fun covers(forward: Boolean): Boolean = this == BOTH || forward == (this == FORWARD)
}

/** Faults injected into one direction of a link. Its string form, with the names in it, is part of [LinkReport]. */
internal data class Disturbance(val delayMs: Long = 0, val jitterMs: Long = 0, val drop: Boolean = false)

/**
 * A relayed link from [listen] to [target]; [seed] determines the jitter. Must be called on the single event loop of
 * [eventLoops], except for the constructor.
 */
internal class Link(
    val name: String,
    private val eventLoops: EventLoopGroup,
    private val listen: InetSocketAddress,
    private val target: InetSocketAddress,
    seed: Long,
) {
    private val random = Random(seed)
    private val connections = LinkedHashSet<RelayedConnection>()
    private var forward = Disturbance()
    private var backward = Disturbance()
    private var listener: Channel? = bootstrap().listen(listen)

    /** Port that the link listens on; it stays the same while the link is cut. */
    val port: Int = checkNotNull(listener).boundPort

    /** Whether the link refuses connections. */
    val cut: Boolean get() = listener == null

    /** Delays the bytes of a direction by [delayMs] plus a uniform part of [jitterMs], without reordering them. */
    fun delay(direction: Direction, delayMs: Long, jitterMs: Long) =
        change(direction) { it.copy(delayMs = delayMs, jitterMs = jitterMs) }

    /** Silently discards the bytes of a direction, and also the close of a connection. */
    fun drop(direction: Direction) = change(direction) { it.copy(drop = true) }

    /** Closes all connections and refuses new ones. */
    fun cut() {
        listener?.close()
        listener = null
        connections.toList().forEach { it.close() }
    }

    /** Ends all faults and closes connections that lost bytes; [done] runs once the link accepts connections. */
    fun restore(done: () -> Unit) {
        forward = Disturbance()
        backward = Disturbance()
        connections.filter { it.lostData }.forEach { it.close() }
        if (!cut) return done()
        bootstrap().bind(InetSocketAddress(listen.address, port)).addListener { future ->
            check(future.isSuccess) { "cannot listen on port $port after restore: ${future.cause()}" }
            done()
        }.also { listener = it.channel() }
    }

    /** Returns the current state. */
    fun describe(): LinkReport = LinkReport(name, port, cut, forward.toString(), backward.toString(), connections.size)

    private fun change(direction: Direction, update: (Disturbance) -> Disturbance) {
        if (direction.covers(forward = true)) forward = update(forward)
        if (direction.covers(forward = false)) backward = update(backward)
    }

    private fun bootstrap() = ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = open(channel)
            },
        )

    private fun open(acceptedChannel: Channel) {
        val connectFuture =
            Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(ChannelInboundHandlerAdapter())
                .connect(target)
        val connection = RelayedConnection(acceptedChannel, connectFuture.channel())
        connections += connection
        connectFuture.addListener { if (it.isSuccess) connection.start() else connection.close() }
    }

    /** One relayed connection. */
    private inner class RelayedConnection(private val accepted: Channel, private val outgoing: Channel) {
        /** Whether bytes or a close were discarded, so that the connection cannot continue. */
        var lostData = false

        fun start() {
            accepted.pipeline().addLast(Forwarder(this, outgoing) { forward })
            outgoing.pipeline().addLast(Forwarder(this, accepted) { backward })
            accepted.config().isAutoRead = true
            outgoing.config().isAutoRead = true
        }

        fun close() {
            connections -= this
            accepted.close()
            outgoing.close()
        }
    }

    private inner class Forwarder(
        private val connection: RelayedConnection,
        private val peer: Channel,
        private val disturbance: () -> Disturbance,
    ) : ChannelInboundHandlerAdapter() {
        private val pending = ArrayDeque<() -> Unit>()
        private var lastDueNanos = System.nanoTime()

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (disturbance().drop) {
                connection.lostData = true
                ReferenceCountUtil.release(message)
            } else {
                afterDelay(context) { peer.writeAndFlush(message as ByteBuf) }
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (disturbance().drop) connection.lostData = true else afterDelay(context) { connection.close() }
        }

        /** Stops reading from the peer while the write buffer of this side is full, to bound the memory use. */
        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            peer.config().isAutoRead = context.channel().isWritable
        }

        @Deprecated("Deprecated in Netty for outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun afterDelay(context: ChannelHandlerContext, action: () -> Unit) {
            val current = disturbance()
            val now = System.nanoTime()
            val jitterNanos = (random.nextDouble() * current.jitterMs * NANOS_PER_MS).toLong()
            val delayNanos = TimeUnit.MILLISECONDS.toNanos(current.delayMs) + jitterNanos
            lastDueNanos = maxOf(now + delayNanos, lastDueNanos)
            if (delayNanos == 0L && pending.isEmpty()) return action()
            // Each timer runs the oldest action, since timers with equal due times can fire in any order.
            pending.addLast(action)
            val waitNanos = lastDueNanos - now
            context.executor().schedule({ pending.removeFirst()() }, waitNanos, TimeUnit.NANOSECONDS)
        }
    }
}

private const val NANOS_PER_MS = 1e6

/** State of a link as returned by the admin interface. */
@Serializable
internal data class LinkReport(
    val name: String,
    val port: Int,
    val cut: Boolean,
    val forward: String,
    val backward: String,
    val connections: Int,
)
