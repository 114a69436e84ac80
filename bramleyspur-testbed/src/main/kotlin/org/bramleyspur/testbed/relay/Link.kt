/*
 * One relayed link: it listens on one address, forwards each connection to another, and disturbs the traffic on
 * command.
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
import java.net.InetSocketAddress
import java.util.Random
import java.util.concurrent.TimeUnit

/** Directions of a link that a command concerns. */
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

/** How one direction of a link treats its bytes. */
internal data class Disturbance(val delayMs: Long = 0, val jitterMs: Long = 0, val drop: Boolean = false)

/**
 * A relayed link from [listen] to [target]; [seed] drives the jitter. All calls but the constructor are on the one
 * event loop of [group].
 */
internal class Link(
    val name: String,
    private val group: EventLoopGroup,
    private val listen: InetSocketAddress,
    private val target: InetSocketAddress,
    seed: Long,
) {
    private val random = Random(seed)
    private val pipes = LinkedHashSet<Pipe>()
    private var forward = Disturbance()
    private var backward = Disturbance()
    private var listener: Channel? = bind(listen).sync().channel()

    /** The port that the link listens on, also while it is cut. */
    val port: Int = checkNotNull(listener).boundPort

    /** Whether the link refuses connections. */
    val cut: Boolean get() = listener == null

    /** Delays the bytes of a direction by [delayMs] and a uniform part of [jitterMs]; their order is kept. */
    fun delay(direction: Direction, delayMs: Long, jitterMs: Long) =
        change(direction) { it.copy(delayMs = delayMs, jitterMs = jitterMs) }

    /** Discards the bytes of a direction silently; a close is not passed on either. */
    fun drop(direction: Direction) = change(direction) { it.copy(drop = true) }

    /** Closes all connections and refuses new ones. */
    fun cut() {
        listener?.close()
        listener = null
        pipes.toList().forEach { it.close() }
    }

    /** Ends all disturbances; [done] runs once the link accepts connections. Connections that lost bytes are closed. */
    fun restore(done: () -> Unit) {
        forward = Disturbance()
        backward = Disturbance()
        pipes.filter { it.lossy }.forEach { it.close() }
        if (!cut) return done()
        bind(InetSocketAddress(listen.address, port)).addListener { future ->
            check(future.isSuccess) { "cannot listen on port $port again: ${future.cause()}" }
            done()
        }.also { listener = it.channel() }
    }

    /** The present state for people. */
    fun describe(): LinkReport = LinkReport(name, port, cut, forward.toString(), backward.toString(), pipes.size)

    private fun change(direction: Direction, edit: (Disturbance) -> Disturbance) {
        if (direction.covers(forward = true)) forward = edit(forward)
        if (direction.covers(forward = false)) backward = edit(backward)
    }

    private fun bind(address: InetSocketAddress) = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = open(channel)
            },
        )
        .bind(address)

    private fun open(accepted: Channel) {
        val outgoing =
            Bootstrap()
                .group(group)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(ChannelInboundHandlerAdapter())
                .connect(target)
        val pipe = Pipe(accepted, outgoing.channel())
        pipes += pipe
        outgoing.addListener { if (it.isSuccess) pipe.start() else pipe.close() }
    }

    /** One relayed connection. */
    private inner class Pipe(private val near: Channel, private val far: Channel) {
        /** Whether bytes or a close were discarded, so that the connection cannot go on. */
        var lossy = false

        fun start() {
            near.pipeline().addLast(Forwarder(this, far) { forward })
            far.pipeline().addLast(Forwarder(this, near) { backward })
            near.config().isAutoRead = true
            far.config().isAutoRead = true
        }

        fun close() {
            pipes -= this
            near.close()
            far.close()
        }
    }

    private inner class Forwarder(
        private val pipe: Pipe,
        private val peer: Channel,
        private val disturbance: () -> Disturbance,
    ) : ChannelInboundHandlerAdapter() {
        private val pending = ArrayDeque<() -> Unit>()
        private var lastDueNanos = System.nanoTime()

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (disturbance().drop) {
                pipe.lossy = true
                ReferenceCountUtil.release(message)
            } else {
                afterDelay(context) { peer.writeAndFlush(message as ByteBuf) }
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (disturbance().drop) pipe.lossy = true else afterDelay(context) { pipe.close() }
        }

        /** Stops reading from the peer while this side cannot take more, which bounds the relay's memory. */
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
            // Each timer runs the oldest action, since timers that are due together can fire in either order.
            pending.addLast(action)
            val waitNanos = lastDueNanos - now
            context.executor().schedule({ pending.removeFirst()() }, waitNanos, TimeUnit.NANOSECONDS)
        }
    }
}

private const val NANOS_PER_MS = 1e6

/** State of a link in answers of the admin interface. */
@Serializable
internal data class LinkReport(
    val name: String,
    val port: Int,
    val cut: Boolean,
    val forward: String,
    val backward: String,
    val connections: Int,
)
