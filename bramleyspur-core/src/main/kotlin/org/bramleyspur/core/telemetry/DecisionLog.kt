package org.bramleyspur.core.telemetry

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes one JSON object a line for each decision that touches a request or changes what the process believes. Writing
 * never blocks the caller: lines go through a bounded queue, at most [linesPerSecond] a second, and the number of
 * dropped lines is written as a line of its own. Safe for use by several threads.
 *
 * @property wallClockMs time of day in Unix milliseconds
 */
class DecisionLog(
    private val out: PrintStream,
    private val wallClockMs: () -> Long,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) {
    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private var second = 0L
    private var linesInSecond = 0

    init {
        thread(name = "decision-log", isDaemon = true) { while (true) writeNext() }
    }

    private fun writeNext() {
        val text = StringBuilder(queue.take())
        while (text.length < BATCH_CHARS) text.append('\n').append(queue.poll() ?: break)
        val lost = dropped.getAndSet(0)
        if (lost > 0) text.append('\n').append(line("log-lines-dropped", listOf("lines" to lost)))
        out.println(text)
    }

    /** Writes a line with the kind of the decision and its [fields]: text, numbers or truth values. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!admit() || !queue.offer(line(event, fields.asList()))) dropped.incrementAndGet()
    }

    @Synchronized
    private fun admit(): Boolean {
        val now = System.nanoTime() / NANOS_PER_SECOND
        if (now != second) {
            second = now
            linesInSecond = 0
        }
        return ++linesInSecond <= linesPerSecond
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
        /** About 100 KB a second at the usual length of a line. */
        const val DEFAULT_LINES_PER_SECOND = 500
        const val QUEUE_LINES = 2_000
        const val MAX_FIELD_CHARS = 500
        const val BATCH_CHARS = 8_192
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
