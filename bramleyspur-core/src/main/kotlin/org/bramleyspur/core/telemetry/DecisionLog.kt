package org.bramleyspur.core.telemetry

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes one line with a JSON object for each decision that affects a request or the process's view of the system.
 * Writing never blocks the caller: lines go through a bounded queue, at most [maxLinesPerSecond] per second, and the
 * number of dropped lines is logged in a separate line. Thread-safe.
 *
 * @property wallClockMs returns the current Unix time in milliseconds
 */
class DecisionLog(
    private val out: PrintStream,
    private val wallClockMs: () -> Long,
    private val maxLinesPerSecond: Int = DEFAULT_MAX_LINES_PER_SECOND,
) {
    private val lineQueue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val droppedLines = AtomicLong()
    private var currentSecond = 0L
    private var linesInCurrentSecond = 0

    init {
        thread(name = "decision-log", isDaemon = true) { while (true) writeNext() }
    }

    private fun writeNext() {
        val batch = StringBuilder(lineQueue.take())
        while (batch.length < BATCH_CHARS) batch.append('\n').append(lineQueue.poll() ?: break)
        val unreported = droppedLines.getAndSet(0)
        if (unreported > 0) batch.append('\n').append(line("log-lines-dropped", listOf("lines" to unreported)))
        out.println(batch)
    }

    /** Writes a line with the kind of the decision and its [fields]: strings, numbers or booleans. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!acquireLinePermit() || !lineQueue.offer(line(event, fields.asList()))) droppedLines.incrementAndGet()
    }

    @Synchronized
    private fun acquireLinePermit(): Boolean {
        val now = System.nanoTime() / NANOS_PER_SECOND
        if (now != currentSecond) {
            currentSecond = now
            linesInCurrentSecond = 0
        }
        return ++linesInCurrentSecond <= maxLinesPerSecond
    }

    private fun line(event: String, fields: List<Pair<String, Any?>>): String = buildJsonObject {
        put("time_ms", wallClockMs())
        put("event", event)
        for ((name, value) in fields) {
            when (value) {
                is Number -> put(name, value)
                is Boolean -> put(name, value)
                null -> put(name, JsonPrimitive(null as String?))
                else -> put(name, value.toString().take(MAX_FIELD_CHARS))
            }
        }
    }.toString()

    private companion object {
        /** About 100 KB per second at the typical length of a line. */
        const val DEFAULT_MAX_LINES_PER_SECOND = 500
        const val QUEUE_LINES = 2_000
        const val MAX_FIELD_CHARS = 500
        const val BATCH_CHARS = 8_192
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
