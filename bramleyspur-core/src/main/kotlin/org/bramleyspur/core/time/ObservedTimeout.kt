package org.bramleyspur.core.time

/**
 * Runs [action] once this thread has watched for [timeoutMs] milliseconds. Time in which the thread was late does not
 * count, since a message that arrived meanwhile is still unread.
 */
fun TimerService.afterObserved(timeoutMs: Long, action: () -> Unit): TimerHandle {
    val timeout = ObservedTimeout(this, timeoutMs, action)
    timeout.start()
    return timeout
}

private class ObservedTimeout(
    private val timers: TimerService,
    private val timeoutMs: Long,
    private val action: () -> Unit,
) : TimerHandle {
    private val stepMs = (timeoutMs / STEPS).coerceAtLeast(1)
    private var observedMs = 0L
    private var current: TimerHandle? = null

    fun start() {
        val remainingMs = minOf(stepMs, timeoutMs - observedMs)
        current = timers.after(remainingMs) {
            // A step that ends late counts as one step: the thread read nothing in the rest of the time.
            observedMs += remainingMs
            if (observedMs >= timeoutMs) action() else start()
        }
    }

    override fun cancel() {
        current?.cancel()
    }

    private companion object {
        const val STEPS = 4
    }
}
