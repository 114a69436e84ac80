package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** The exchange that uses a connection. */
internal interface ConnectionUser {
    /** Handles a part of a response. */
    fun read(message: Any)

    /** The peer sends bytes without end that are no part of a response. */
    fun onEndless()

    fun onWritable(writable: Boolean)

    /** Whether the response is complete only if the peer has received the whole request. */
    val needsWholeRequest: Boolean

    /** Whether the whole request was written to the network. */
    val requestWritten: Boolean

    /** The connection has closed or failed. */
    fun onDisconnected()
}

/** Passes the events of a channel to the exchange that currently uses it. */
internal class ConnectionHandler : ChannelInboundHandlerAdapter() {
    var exchange: ConnectionUser? = null

    /** Whether no response has been received on the connection; the caller resets it at the head of one. */
    var awaitsFirstResponse = true

    /** Bytes received since the last part of a message; the decoder skips line breaks without limit. */
    private var undecodedBytes = 0L

    /** Observes bytes before the HTTP codec. */
    val byteObserver = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (exchange == null) {
                ReferenceCountUtil.release(message)
                context.close()
                return
            }
            undecodedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
            context.fireChannelRead(message)
            if (undecodedBytes > MAX_UNDECODED_BYTES) exchange?.onEndless()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            // The decoder takes any closed connection for the end of a response without a length.
            if ((context.channel() as? ClientChannel)?.endedInOrder != true) disconnect()
            context.fireChannelInactive()
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) onInputEnd(context) else context.fireUserEventTriggered(event)
        }
    }

    /** Closes the channel, but leaves time for a reset if the response needs a request that was received as a whole. */
    private fun onInputEnd(context: ChannelHandlerContext) {
        val user = exchange
        val channel = context.channel() as? ClientChannel
        val close = { inOrder: Boolean ->
            if (inOrder) channel?.acceptEnd()
            context.close()
        }
        if (user?.needsWholeRequest != true) {
            close(true)
        } else {
            val decide = { close(user.requestWritten && channel?.hasError == false) }
            context.executor().schedule(decide, RESET_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        undecodedBytes = 0
        try {
            exchange?.read(message) ?: context.close()
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.onWritable(context.channel().isWritable)
    }

    override fun channelInactive(context: ChannelHandlerContext) = disconnect()

    @Deprecated("Deprecated in Netty's handler interface, which still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // A response without a length ends when the connection closes; a reset must not be taken for that end.
        disconnect()
        context.close()
    }

    private fun disconnect() {
        exchange?.onDisconnected()
        exchange = null
    }

    private companion object {
        /** Several times the decoder's limits for a head. */
        const val MAX_UNDECODED_BYTES = 64 * 1024L

        /** Many times the round trip in which a host answers data for a connection that has ended by a reset. */
        const val RESET_DELAY_MS = 100L
    }
}
