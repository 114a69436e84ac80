package org.bramleyspur.testbed.control

import java.util.concurrent.TimeUnit

/** Collects promises that were kept or broken, and figures. */
internal class ProofReport {
    private val lines = mutableListOf<List<String>>()
    private var broken = 0

    /** Whether no promise was broken. */
    val kept: Boolean get() = broken == 0

    /** Notes a promise; [detail] is what was seen. */
    fun promise(check: String, promise: String, kept: Boolean, detail: String) {
        if (!kept) broken += 1
        add(check, promise, if (kept) "kept" else "BROKEN", detail)
    }

    /** Notes a figure, which is no promise. */
    fun figure(check: String, name: String, value: String) = add(check, name, "figure", value)

    /** Prints the table. */
    fun print() {
        val widths = (0 until COLUMNS - 1).map { column -> lines.maxOf { it[column].length } }
        lines.forEach { line ->
            println(line.mapIndexed { i, cell -> cell.padEnd(widths.getOrElse(i) { 0 }) }.joinToString("  ").trimEnd())
        }
    }

    private fun add(vararg cells: String) {
        println("  ${cells.joinToString(" | ")}")
        lines += cells.toList()
    }

    private companion object {
        const val COLUMNS = 4
    }
}

/** Waits until [condition] holds; false when [seconds] have passed. */
internal fun within(seconds: Int, condition: () -> Boolean): Boolean {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
    while (System.nanoTime() < end) {
        if (condition()) return true
        Thread.sleep(POLL_MS)
    }
    return condition()
}

/** Milliseconds since [startNs] of the monotonic clock. */
internal fun elapsedMs(startNs: Long): Double = (System.nanoTime() - startNs) / NANOS_PER_MILLI

private const val POLL_MS = 20L
private const val NANOS_PER_MILLI = 1_000_000.0
