/*
 * A small open-loop load that runs through each row. Like the platform's load balancer it uses only entries whose
 * /readyz answers, and like a careful caller it resends a call under its key until the outcome is known.
 */
package org.bramleyspur.testbed.matrix

import java.util.Random
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Sends the load from [start] to [stop]; [seed] drives kinds and lengths. */
internal class Load(private val callers: Callers, private val ports: Ports, seed: Long) {
    private val random = Random(seed)
    private val pending = ArrayList<Future<*>>()

    @Volatile
    private var running = true

    @Volatile
    private var ready = (1..ENTRIES).toList()
    private var sender: Future<*>? = null

    /** Starts to send. */
    fun start() {
        callers.run { watchEntries() }
        sender = callers.run { send() }
    }

    /** Stops sending and waits until every call has ended. */
    fun stop() {
        running = false
        sender?.get()
        pending.forEach { it.await() }
    }

    private fun watchEntries() {
        while (running) {
            ready = (1..ENTRIES).filter { Http.get("http://127.0.0.1:${ports.entryPlatform(it)}/readyz") != null }
            Thread.sleep(READY_POLL_MS)
        }
    }

    private fun send() {
        var turn = 0
        while (running) {
            val candidates = ready.ifEmpty { (1..ENTRIES).toList() }
            val entry = candidates[turn++ % candidates.size]
            val length = MIN_TOKENS + random.nextInt(MIN_TOKENS)
            val delayMs = MIN_DELAY_MS + random.nextInt(MIN_DELAY_MS).toLong()
            if (random.nextInt(3) > 0) {
                pending += callers.stream(entry, length).answer
            } else {
                pending += callers.run { resending(callers, callers.newKey(), entry, delayMs) { ready } }
            }
            Thread.sleep(INTERVAL_MS)
        }
    }

    private companion object {
        const val INTERVAL_MS = 120L
        const val READY_POLL_MS = 200L
        const val MIN_TOKENS = 25
        const val MIN_DELAY_MS = 150
    }
}

/**
 * Sends the call [key] until its outcome is known, for up to 12 s, first to [firstEntry] and then in turn to those of
 * [entries]; the last answer.
 */
internal fun resending(
    callers: Callers,
    key: String,
    firstEntry: Int,
    delayMs: Long,
    entries: () -> List<Int> = { (1..ENTRIES).toList() },
): Answer {
    val deadline = System.nanoTime() + RESEND_NANOS
    var entry = firstEntry
    while (true) {
        val answer = callers.call(entry, key, delayMs).get()
        if (answer.isFinal || System.nanoTime() > deadline) return answer
        val candidates = entries().ifEmpty { listOf(entry) }
        entry = candidates[(candidates.indexOf(entry) + 1) % candidates.size]
        Thread.sleep(RESEND_PAUSE_MS)
    }
}

/** Whether the outcome of the call is known or known to stay unknown; 409 says that the call is in progress. */
private val Answer.isFinal: Boolean
    get() = ending == Ending.COMPLETE || ending == Ending.RAN_AND_FAILED || ending == Ending.WRONG ||
        (ending == Ending.MAY_HAVE_RUN && !inProgress)

/** Whether the answer tells that another try of the call is under way. */
internal val Answer.inProgress: Boolean get() = detail.startsWith("409")

internal fun <T> Future<T>.await(): T? = try {
    get(AWAIT_SECONDS, TimeUnit.SECONDS)
} catch (_: ExecutionException) {
    null
}

private const val RESEND_NANOS = 12 * NANOS_PER_SECOND
private const val RESEND_PAUSE_MS = 300L
private const val AWAIT_SECONDS = 60L
