package org.bramleyspur.daemon

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Forwards connections on loopback to [targetPort]; all of them can be reset at once. */
internal class ResettableRelay(private val targetPort: () -> Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    val port: Int = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val caller = runCatching { server.accept() }.getOrNull() ?: return@thread
                forward(caller)
            }
        }
    }

    private fun forward(caller: Socket) = try {
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort())
        sockets += listOf(caller, target)
        pipe(caller, target)
        pipe(target, caller)
    } catch (_: IOException) {
        reset(caller)
    }

    private fun pipe(from: Socket, to: Socket) {
        thread(isDaemon = true) {
            try {
                from.tcpNoDelay = true
                from.getInputStream().transferTo(to.getOutputStream())
            } catch (_: IOException) {
                // One of the connections was reset.
            }
            reset(from)
            reset(to)
        }
    }

    /** Resets all open connections; later ones are forwarded again. */
    fun resetAll() {
        val open = sockets.toList()
        sockets.removeAll(open.toSet())
        open.forEach { reset(it) }
    }

    private fun reset(socket: Socket) {
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (_: IOException) {
            // It was closed before.
        }
    }

    override fun close() {
        server.close()
        resetAll()
    }

    private companion object {
        const val BACKLOG = 50
    }
}
