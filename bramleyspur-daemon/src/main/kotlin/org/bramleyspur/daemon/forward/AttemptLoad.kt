package org.bramleyspur.daemon.forward

/** The part of one attempt in the load of its backend server; released once. */
internal class AttemptLoad(private val load: BackendLoad, private val promptTokens: Long) {
    private var counted = false
    private var activeStream = false
    private var pendingPrefillTokens = 0L

    /** Counts the attempt as in flight. */
    fun onSent() {
        counted = true
        load.inFlight++
        load.contextTokens += promptTokens
        pendingPrefillTokens = promptTokens
        load.pendingPrefillTokens += promptTokens
    }

    /** Counts the attempt as a stream that has received its first event. */
    fun onEvent() {
        if (!counted) return
        if (!activeStream) load.activeStreams++
        activeStream = true
        onPrefilled()
    }

    private fun onPrefilled() {
        load.pendingPrefillTokens -= pendingPrefillTokens
        pendingPrefillTokens = 0
    }

    fun release() {
        if (!counted) return
        counted = false
        if (activeStream) load.activeStreams--
        load.inFlight--
        load.contextTokens -= promptTokens
        onPrefilled()
    }
}
