/*
 * A small open-loop load that runs during each fault case. Like the platform's load balancer it uses only entries whose
 * /readyz responds with 200, and it retries a call with the same idempotency key until the outcome is known.
 */
package org.bramleyspur.testbed.matrix

import java.util.Random
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Sends the load between [start] and [stop]; [seed] determines the kinds and lengths of calls. */
internal class BackgroundLoad(private val callers: Callers, private val ports: Ports, seed: Long) {
    private val random = Random(seed)
    private val pending = ArrayList<Future<*>>()

    @Volatile
    private var running = true

    @Volatile
    private var readyEntries = (1..ENTRIES).toList()
    private var sender: Future<*>? = null

    fun start() {
        callers.run { watchEntries() }
        sender = callers.run { send() }
    }

    /** Stops sending and waits for all calls to end. */
    fun stop() {
        running = false
        sender?.get()
        pending.forEach { it.await() }
    }

    private fun watchEntries() {
        while (running) {
            readyEntries =
                (1..ENTRIES).filter { Http.get("http://127.0.0.1:${ports.entryPlatform(it)}/readyz") != null }
            Thread.sleep(READY_POLL_INTERVAL_MS)
        }
    }

    private fun send() {
        var sentCount = 0
        while (running) {
            val candidates = readyEntries.ifEmpty { (1..ENTRIES).toList() }
            val entry = candidates[sentCount++ % candidates.size]
            val length = MIN_TOKENS + random.nextInt(MIN_TOKENS)
            val delayMs = MIN_DELAY_MS + random.nextInt(MIN_DELAY_MS).toLong()
            if (random.nextInt(3) > 0) {
                pending += callers.stream(entry, length).attempt
            } else {
                pending +=
                    callers.run { sendUntilOutcomeKnown(callers, callers.newKey(), entry, delayMs) { readyEntries } }
            }
            Thread.sleep(SEND_INTERVAL_MS)
        }
    }

    private companion object {
        const val SEND_INTERVAL_MS = 120L
        const val READY_POLL_INTERVAL_MS = 200L
        const val MIN_TOKENS = 25
        const val MIN_DELAY_MS = 150
    }
}

/**
 * Sends the call [key] until its outcome is known, for up to 12 s, first to [firstEntry] and then to the [entries] in
 * turn. Returns the last attempt.
 */
internal fun sendUntilOutcomeKnown(
    callers: Callers,
    key: String,
    firstEntry: Int,
    delayMs: Long,
    entries: () -> List<Int> = { (1..ENTRIES).toList() },
): CallAttempt {
    val deadline = System.nanoTime() + RETRY_TIMEOUT_NANOS
    var entry = firstEntry
    while (true) {
        val attempt = callers.call(entry, key, delayMs).get()
        if (attempt.isFinal || System.nanoTime() > deadline) return attempt
        val candidates = entries().ifEmpty { listOf(entry) }
        entry = candidates[(candidates.indexOf(entry) + 1) % candidates.size]
        Thread.sleep(RETRY_INTERVAL_MS)
    }
}

/** Whether a retry cannot change the outcome of the call; the status 409 means that the call is in progress. */
private val CallAttempt.isFinal: Boolean
    get() = outcome == CallOutcome.COMPLETE || outcome == CallOutcome.RAN_AND_FAILED ||
        outcome == CallOutcome.WRONG ||
        (outcome == CallOutcome.MAY_HAVE_RUN && !inProgress)

/** Whether the response says that another attempt of the call is in progress. */
internal val CallAttempt.inProgress: Boolean get() = detail.startsWith("409")

internal fun <T> Future<T>.await(): T? = try {
    get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
} catch (_: ExecutionException) {
    null
}

private const val RETRY_TIMEOUT_NANOS = 12 * NANOS_PER_SECOND
private const val RETRY_INTERVAL_MS = 300L
private const val AWAIT_TIMEOUT_SECONDS = 60L
