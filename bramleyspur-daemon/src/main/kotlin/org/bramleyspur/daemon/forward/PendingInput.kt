/*
 * Input of a caller's connection that waits until the response to the request before it has been written.
 */
package org.bramleyspur.daemon.forward

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Parts of further requests, in the order of their arrival. Confined to the traffic thread. */
internal class PendingInput(private val channel: Channel) {
    private val messages = ArrayDeque<HttpObject>()

    /** Whether all further input is dropped, since the connection closes. */
    var discarding = false
        private set

    val isEmpty: Boolean get() = messages.isEmpty()

    fun add(message: HttpObject) {
        messages.addLast(message)
        // Bounds the memory for a caller that pipelines requests without reading the responses.
        if (messages.size > MAX_MESSAGES) channel.config().isAutoRead = false
    }

    /** Hands the messages to [process] one by one while [ready]. */
    fun drain(ready: () -> Boolean, process: (HttpObject) -> Unit) {
        while (ready() && messages.isNotEmpty()) process(messages.removeFirst())
        if (messages.size <= MAX_MESSAGES && channel.isActive) channel.config().isAutoRead = true
    }

    /** Drops what waits, and all further input. */
    fun discard() {
        discarding = true
        messages.forEach { ReferenceCountUtil.release(it) }
        messages.clear()
    }

    private companion object {
        const val MAX_MESSAGES = 64
    }
}
