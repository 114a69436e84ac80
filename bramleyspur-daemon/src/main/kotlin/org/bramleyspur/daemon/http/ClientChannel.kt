package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel

/**
 * A connection that records whether its peer has ended it in order. A channel that was closed does not tell this: it is
 * also closed after a write that failed, since the peer has reset the connection.
 */
internal class ClientChannel : NioSocketChannel() {
    /** Whether all data of the peer was read up to its end. */
    var inputEnded = false
        private set

    override fun doReadBytes(buffer: ByteBuf): Int {
        val bytes = super.doReadBytes(buffer)
        if (bytes < 0) inputEnded = true
        return bytes
    }
}
