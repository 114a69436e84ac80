package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/**
 * A connection that records whether its peer has ended it in order. A channel that was closed does not tell this: it is
 * also closed after a write that failed, since the peer has reset the connection.
 *
 * The host of a peer that crashes ends the connection in order, too, if the peer has read all that has arrived. The
 * rest of a request that is still on its way is then answered by a reset. So with half-closure allowed the end of the
 * peer's data is in order only when [acceptEnd] says so.
 */
internal class ClientChannel : NioSocketChannel() {
    /** Whether all data of the peer was read up to an end in order. */
    var endedInOrder = false
        private set

    /** Whether the connection has failed; also tells of a reset after the end of the peer's data. */
    val hasError: Boolean get() = !isActive || hasSocketError()

    override fun doReadBytes(buffer: ByteBuf): Int {
        val bytes = super.doReadBytes(buffer)
        if (bytes < 0 && !config().isAllowHalfClosure) endedInOrder = true
        return bytes
    }

    /** Records that the end of the peer's data was one in order. */
    fun acceptEnd() {
        endedInOrder = true
    }

    /** A connected socket is never ready for OP_CONNECT, but a selector also reports a pending error as ready. */
    private fun hasSocketError(): Boolean = Selector.open().use { selector ->
        javaChannel().register(selector, SelectionKey.OP_CONNECT)
        selector.selectNow() > 0
    }
}
