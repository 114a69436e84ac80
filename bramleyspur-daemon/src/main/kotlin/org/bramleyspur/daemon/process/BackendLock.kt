package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Settings
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Prevents two agents from managing the same backend server, by listening on a loopback port. The kernel releases the
 * socket only when the process ends, so a frozen agent keeps the lock, and its late orders cannot interleave with those
 * of a successor.
 */
class BackendLock private constructor(private val socket: ServerSocket) : AutoCloseable {
    override fun close() = socket.close()

    companion object {
        /** Derived ports stay below the ephemeral port range of Linux, which starts at 32768. */
        private const val FIRST_PORT = 20_000
        private const val PORT_COUNT = 12_000

        /** Locks the backend server named by [settings]; throws [BackendLockedException] when the lock is held. */
        fun acquire(settings: Settings): BackendLock {
            val configuredPort = settings[AgentSettings.LOCK_PORT].toInt()
            val port = if (configuredPort != 0) configuredPort else derivedPort(settings[AgentSettings.BACKEND].port)
            return try {
                BackendLock(ServerSocket(port, 1, InetAddress.getLoopbackAddress()))
            } catch (e: IOException) {
                throw BackendLockedException(port, e)
            }
        }

        private fun derivedPort(backendPort: Int): Int = FIRST_PORT + backendPort % PORT_COUNT
    }
}

/** Another agent manages the backend server, or another process uses the lock port. */
class BackendLockedException(port: Int, cause: IOException) :
    Exception("lock port $port is taken (${cause.message}); end the other agent or set --lock-port", cause)
