package org.bramleyspur.daemon.http

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import org.bramleyspur.core.time.monotonicMs

/** Open connections that no call uses. Confined to [loop], the event loop of the connections. */
internal class IdleConnections(private val loop: EventLoop) {
    private class IdleConnection(val channel: Channel, val untilMs: Long)

    private val connections = ArrayDeque<IdleConnection>()
    private var closed = false

    /** Removes and returns the connection that was added last and is still usable; null if there is none. */
    fun take(): Channel? {
        checkThread()
        while (connections.isNotEmpty()) {
            val next = connections.removeLast()
            if (next.channel.isActive && monotonicMs() < next.untilMs) return next.channel
            next.channel.close()
        }
        return null
    }

    /** Adds [channel] for [limitMs], or closes it if there are enough. */
    fun add(channel: Channel, limitMs: Long) {
        checkThread()
        if (closed || connections.size >= MAX_IDLE_CONNECTIONS || !channel.isActive) {
            channel.close()
        } else {
            connections.addLast(IdleConnection(channel, monotonicMs() + limitMs))
        }
    }

    /** Closes all connections, and those that are added later. */
    fun close() {
        checkThread()
        closed = true
        connections.forEach { it.channel.close() }
        connections.clear()
    }

    private fun checkThread() = check(loop.inEventLoop()) { "idle connections are used outside their event loop" }

    private companion object {
        const val MAX_IDLE_CONNECTIONS = 32
    }
}
