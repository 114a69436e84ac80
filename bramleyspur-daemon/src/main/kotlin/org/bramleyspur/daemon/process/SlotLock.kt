package org.bramleyspur.daemon.process

import org.bramleyspur.core.settings.Settings
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Keeps a second agent off the same backend server. The kernel releases the listening socket only when the process has
 * ended, so a frozen agent keeps it, and its old orders can never mix with those of a successor.
 */
class SlotLock private constructor(private val socket: ServerSocket) : AutoCloseable {
    override fun close() = socket.close()

    companion object {
        /** Derived ports stay below the range that Linux takes for outgoing connections, which starts at 32768. */
        private const val FIRST_PORT = 20_000
        private const val PORT_COUNT = 12_000

        /** Takes the lock of the backend server that [settings] name; throws [SlotTakenException] when it is held. */
        fun acquire(settings: Settings): SlotLock {
            val chosen = settings[AgentSettings.LOCK_PORT].toInt()
            val port = if (chosen != 0) chosen else derivedPort(settings[AgentSettings.BACKEND].port)
            return try {
                SlotLock(ServerSocket(port, 1, InetAddress.getLoopbackAddress()))
            } catch (e: IOException) {
                throw SlotTakenException(port, e)
            }
        }

        private fun derivedPort(backendPort: Int): Int = FIRST_PORT + backendPort % PORT_COUNT
    }
}

/** Another agent serves the backend server, or the lock's port is used by something else. */
class SlotTakenException(port: Int, cause: IOException) :
    Exception("lock port $port is taken (${cause.message}); end the other agent or set --lock-port", cause)
