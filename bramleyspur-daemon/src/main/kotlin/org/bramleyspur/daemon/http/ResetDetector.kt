/*
 * Detects resets of connections that are not read. NIO reports nothing about such a connection, and a read would return
 * all data that arrived before the reset, which may be more than there is memory for.
 */
package org.bramleyspur.daemon.http

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Checks the watched connections for resets. All of them belong to one event loop, to which this class is confined.
 *
 * A connected socket is never ready for OP_CONNECT, except that a selector also reports a pending error as ready.
 */
internal class ResetDetector {
    private val watches = LinkedHashSet<Watch>()
    private var selector: Selector? = null
    private var timer: Future<*>? = null

    /** Calls [onReset] when [channel] has been reset, until the returned watch is closed. */
    fun watch(channel: WatchableChannel, onReset: () -> Unit): AutoCloseable {
        timer = timer ?: channel.eventLoop()
            .scheduleAtFixedRate(::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
        return Watch(channel, onReset).also { watches += it }
    }

    private fun check() {
        if (watches.isEmpty()) return stop()
        val current = selector ?: Selector.open().also { selector = it }
        watches.forEach { it.register(current) }
        current.selectNow()
        val reset = watches.filter { it.isReset }
        current.selectedKeys().clear()
        reset.forEach { it.onReset() }
    }

    private fun stop() {
        timer?.cancel(false)
        timer = null
        selector?.close()
        selector = null
    }

    /** Registered at the next check only, since most pauses of an upload are short. */
    private inner class Watch(private val channel: WatchableChannel, val onReset: () -> Unit) : AutoCloseable {
        private var key: SelectionKey? = null

        val isReset: Boolean get() = key?.let { it.isValid && it.isConnectable } == true

        fun register(selector: Selector) {
            if (key == null && channel.isOpen) key = channel.registerForErrors(selector)
        }

        override fun close() {
            watches -= this
            val registered = key ?: return
            registered.cancel()
            // A socket that has been closed is released only when its key has left the selector.
            selector?.selectNow()
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 50L
    }
}

/** A connection that a [ResetDetector] can watch. */
internal class WatchableChannel(parent: Channel, socket: SocketChannel) : NioSocketChannel(parent, socket) {
    fun registerForErrors(selector: Selector): SelectionKey = javaChannel().register(selector, SelectionKey.OP_CONNECT)
}

/** Accepts connections as [WatchableChannel]. */
internal class WatchableServerChannel : NioServerSocketChannel() {
    override fun doReadMessages(accepted: MutableList<Any>): Int {
        val socket = javaChannel().accept() ?: return 0
        return try {
            accepted += WatchableChannel(this, socket)
            1
        } catch (_: ChannelException) {
            socket.close()
            0
        }
    }
}
