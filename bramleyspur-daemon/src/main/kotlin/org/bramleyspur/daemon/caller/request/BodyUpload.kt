package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import org.bramleyspur.daemon.caller.CallerExchange

/**
 * Forwards the body of a plain request to the agent. Up to [MAX_RETAINED_BYTES] are retained for a retry; a longer body
 * can be sent only once. Reading from the caller pauses while the agent's connection is not writable.
 */
class BodyUpload(private val exchange: CallerExchange) {
    private class Part(val data: ByteString, val last: Boolean)

    private val retainedParts = ArrayList<Part>()
    private var retainedBytes = 0
    private var released = false
    private var attempt: RequestRunner.RunningAttempt? = null
    private var paused = false

    /** Called once when the body is no longer retained. */
    var onReleased: () -> Unit = {}

    /** Forwards a part of the caller's body. */
    fun add(data: ByteString, last: Boolean) {
        if (!released) {
            retainedParts += Part(data, last)
            retainedBytes += data.size()
        }
        attempt?.sendBody(data, last)
        if (!released && retainedBytes > MAX_RETAINED_BYTES && attempt != null) release()
        updatePause()
    }

    /** Sends the retained parts to [newAttempt] and forwards further parts as they arrive. */
    internal fun attach(newAttempt: RequestRunner.RunningAttempt) {
        attempt = newAttempt
        retainedParts.forEach { newAttempt.sendBody(it.data, it.last) }
        if (!released && retainedBytes > MAX_RETAINED_BYTES) release()
        updatePause()
    }

    internal fun detach() {
        attempt = null
        retainedParts.clear()
        released = true
        if (paused) exchange.pauseBody(false)
    }

    internal fun onReady() = updatePause()

    private fun release() {
        released = true
        retainedParts.clear()
        onReleased()
    }

    private fun updatePause() {
        val current = attempt
        val shouldPause = if (current == null) retainedBytes > MAX_RETAINED_BYTES && !released else !current.ready
        if (shouldPause == paused) return
        paused = shouldPause
        exchange.pauseBody(shouldPause)
    }

    private companion object {
        const val MAX_RETAINED_BYTES = 64 * 1024
    }
}
