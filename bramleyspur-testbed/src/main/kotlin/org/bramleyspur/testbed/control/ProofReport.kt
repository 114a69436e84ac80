package org.bramleyspur.testbed.control

import java.util.concurrent.TimeUnit

/** Collects the results of the checked guarantees, and measurements. */
internal class ProofReport {
    private val lines = mutableListOf<List<String>>()
    private var violations = 0

    /** Whether no guarantee was violated. */
    val allHold: Boolean get() = violations == 0

    /** Records the result of checking a guarantee; [detail] says what was observed. */
    fun record(check: String, guarantee: String, holds: Boolean, detail: String) {
        if (!holds) violations += 1
        add(check, guarantee, if (holds) "kept" else "BROKEN", detail)
    }

    /** Records a measurement without a limit. */
    fun recordMeasurement(check: String, name: String, value: String) = add(check, name, "figure", value)

    /** Prints all results as a table. */
    fun print() {
        val widths = (0 until COLUMN_COUNT - 1).map { column -> lines.maxOf { it[column].length } }
        lines.forEach { line ->
            println(line.mapIndexed { i, cell -> cell.padEnd(widths.getOrElse(i) { 0 }) }.joinToString("  ").trimEnd())
        }
    }

    private fun add(vararg cells: String) {
        println("  ${cells.joinToString(" | ")}")
        lines += cells.toList()
    }

    private companion object {
        const val COLUMN_COUNT = 4
    }
}

/** Waits until [condition] holds; returns false if it does not within [seconds]. */
internal fun waitUntil(seconds: Int, condition: () -> Boolean): Boolean {
    val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
    while (System.nanoTime() < deadline) {
        if (condition()) return true
        Thread.sleep(POLL_INTERVAL_MS)
    }
    return condition()
}

/** Returns the milliseconds since [startNs], a time of [System.nanoTime]. */
internal fun elapsedMs(startNs: Long): Double = (System.nanoTime() - startNs) / NANOS_PER_MILLISECOND

private const val POLL_INTERVAL_MS = 20L
private const val NANOS_PER_MILLISECOND = 1_000_000.0
