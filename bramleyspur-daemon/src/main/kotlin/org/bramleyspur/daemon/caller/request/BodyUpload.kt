package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import org.bramleyspur.daemon.caller.CallerExchange

/**
 * The body of a plain request on its way to the agent. The first [HELD_BYTES] are held, so that they can be sent again
 * with another attempt; a longer body can be sent only once. Reading from the caller stops while the agent's connection
 * takes no more.
 */
class BodyUpload(private val exchange: CallerExchange) {
    private class Part(val data: ByteString, val last: Boolean)

    private val held = ArrayList<Part>()
    private var heldBytes = 0
    private var released = false
    private var attempt: RequestRunner.RunningAttempt? = null
    private var paused = false

    /** Called once when the body is no longer held. */
    var onReleased: () -> Unit = {}

    /** Takes a part of the caller's body. */
    fun add(data: ByteString, last: Boolean) {
        if (!released) {
            held += Part(data, last)
            heldBytes += data.size()
        }
        attempt?.sendBody(data, last)
        if (!released && heldBytes > HELD_BYTES && attempt != null) release()
        updatePause()
    }

    /** Sends what is held with [next], and what follows as it comes. */
    internal fun attach(next: RequestRunner.RunningAttempt) {
        attempt = next
        held.forEach { next.sendBody(it.data, it.last) }
        if (!released && heldBytes > HELD_BYTES) release()
        updatePause()
    }

    internal fun detach() {
        attempt = null
        held.clear()
        released = true
        if (paused) exchange.pauseBody(false)
    }

    internal fun onReady() = updatePause()

    private fun release() {
        released = true
        held.clear()
        onReleased()
    }

    private fun updatePause() {
        val current = attempt
        val stop = if (current == null) heldBytes > HELD_BYTES && !released else !current.ready
        if (stop == paused) return
        paused = stop
        exchange.pauseBody(stop)
    }

    private companion object {
        const val HELD_BYTES = 64 * 1024
    }
}
