package org.bramleyspur.daemon

import org.bramleyspur.core.telemetry.DecisionLog
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** A log whose lines a test can read; they are written on a thread of their own. */
internal class LoggedLines(wallClockMs: () -> Long) {
    private val bytes = ByteArrayOutputStream()
    private var reads = 0

    val log = DecisionLog(PrintStream(bytes), wallClockMs, maxLinesPerSecond = Int.MAX_VALUE)

    /** The lines with [event] of all decisions until now. */
    fun of(event: String): List<String> {
        reads++
        log.write("read", "number" to reads)
        val last = "\"event\":\"read\",\"number\":$reads}"
        val endNs = System.nanoTime() + LIMIT_NS
        while (last !in bytes.toString()) {
            check(System.nanoTime() < endNs) { "the log was not written" }
            Thread.sleep(POLL_MS)
        }
        return bytes.toString().lines().filter { "\"event\":\"$event\"" in it }
    }

    private companion object {
        const val LIMIT_NS = 10_000_000_000L
        const val POLL_MS = 2L
    }
}
