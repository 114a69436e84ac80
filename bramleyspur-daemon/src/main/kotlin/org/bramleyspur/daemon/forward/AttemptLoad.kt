package org.bramleyspur.daemon.forward

/** The part of one attempt in the load of its backend server; released once. */
internal class AttemptLoad(private val load: BackendLoad, private val promptTokens: Long) {
    private var counted = false
    private var activeStream = false
    private var paused = false
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
        if (!activeStream) {
            load.activeStreams++
            if (paused) load.pausedStreams++
        }
        activeStream = true
        onPrefilled()
    }

    private fun onPrefilled() {
        load.pendingPrefillTokens -= pendingPrefillTokens
        pendingPrefillTokens = 0
    }

    /** Counts the attempt as one from which nothing is read while its caller accepts no more data. */
    fun onPaused(paused: Boolean, nowMs: Long) {
        if (!counted || paused == this.paused) return
        this.paused = paused
        if (!paused) load.lastReadResumedMs = nowMs
        if (activeStream) load.pausedStreams += if (paused) 1 else -1
    }

    fun release() {
        if (!counted) return
        counted = false
        if (activeStream && paused) load.pausedStreams--
        if (activeStream) load.activeStreams--
        load.inFlight--
        load.contextTokens -= promptTokens
        onPrefilled()
    }
}
