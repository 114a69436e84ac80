/*
 * A backend server of the load model: a batch that works in passes of the published costs, and a queue before it.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.core.document.EngineCosts

/**
 * One request at an engine, which admits the lowest [urgency] first. [onFirst] and [onEnd] are called with the time of
 * the first event and of the end.
 */
internal class EngineWork(
    val promptTokens: Int,
    val outputTokens: Int,
    val urgency: Int,
    val onFirst: (nowMs: Double) -> Unit,
    val onEnd: (nowMs: Double) -> Unit,
) {
    var unreadTokens = promptTokens
    var unwrittenTokens = outputTokens
    var cancelled = false
}

/**
 * An engine whose times are multiplied by [timeFactor] and whose queue holds [queueLimit] requests. Its load reports
 * are [reportLagMs] old, and it makes no progress while it is [silent]; [schedule] runs a function at a time in
 * milliseconds.
 */
internal class ModelEngine(
    val id: String,
    private val costs: EngineCosts,
    val timeFactor: Double,
    private val queueLimit: Int,
    private val reportLagMs: Double,
    private val silent: ClosedFloatingPointRange<Double>?,
    private val schedule: (atMs: Double, () -> Unit) -> Unit,
) {
    private class Snapshot(val atMs: Double, val running: Int, val waiting: Int)

    private val queue = ArrayDeque<EngineWork>()
    private val batch = ArrayList<EngineWork>()
    private val history = ArrayDeque(listOf(Snapshot(0.0, 0, 0)))
    private var inPass = false

    /** Requests in the batch and in the queue. */
    val inFlight: Int get() = batch.size + queue.size

    /** Time in milliseconds that the unread prompts and the requests that wait for a slot take. */
    val backlogMs: Double get() {
        val unread = batch.sumOf { it.unreadTokens } + queue.sumOf { it.promptTokens }
        val stepMs = costs.stepMs + batch.size * costs.perRequestMs
        val queueMs = queue.size * costs.meanResponseTokens * stepMs / costs.slots
        return timeFactor * (unread / costs.prefillTokensPerMs + queueMs)
    }

    /** Numbers of running and of waiting requests as a response at [nowMs] tells them. */
    fun report(nowMs: Double): Pair<Int, Int> {
        while (history.size > 1 && history[1].atMs <= nowMs - reportLagMs) history.removeFirst()
        return history.first().let { it.running to it.waiting }
    }

    /** Whether it makes no progress at [nowMs]. */
    fun isSilent(nowMs: Double): Boolean = silent != null && nowMs in silent

    /** Accepts [work], or returns false if the queue is full. */
    fun accept(work: EngineWork, nowMs: Double): Boolean {
        if (batch.size >= costs.slots && queue.size >= queueLimit) return false
        val before = queue.indexOfLast { it.urgency <= work.urgency }
        queue.add(before + 1, work)
        record(nowMs)
        if (!inPass) startPass(nowMs)
        return true
    }

    private fun record(nowMs: Double) {
        history += Snapshot(nowMs, batch.size, queue.size)
        report(nowMs)
    }

    private fun startPass(nowMs: Double) {
        if (silent != null && isSilent(nowMs)) {
            inPass = true
            val atMs = Math.nextUp(silent.endInclusive)
            return schedule(atMs) { startPass(atMs) }
        }
        batch.removeAll { it.cancelled }
        queue.removeAll { it.cancelled }
        while (queue.isNotEmpty() && batch.size < costs.slots) batch += queue.removeFirst()
        record(nowMs)
        inPass = batch.isNotEmpty()
        if (!inPass) return
        val writers = batch.filter { it.unreadTokens == 0 }
        val readers = batch.filter { it.unreadTokens > 0 }
        val steps = if (writers.isEmpty()) 1 else costs.stepsPerPass
        var room = steps * costs.prefillChunkTokens
        val read = readers.associateWith { reader -> minOf(room, reader.unreadTokens).also { room -= it } }
        val contextTokens = writers.sumOf { it.promptTokens + it.outputTokens - it.unwrittenTokens }
        val stepMs = costs.stepMs + writers.size * costs.perRequestMs +
            contextTokens / TOKENS_PER_THOUSAND * costs.perThousandContextMs
        val endMs = nowMs + timeFactor * (steps * stepMs + read.values.sum() / costs.prefillTokensPerMs)
        schedule(endMs) { endPass(writers, read, steps, endMs) }
    }

    private fun endPass(writers: List<EngineWork>, read: Map<EngineWork, Int>, steps: Int, nowMs: Double) {
        writers.forEach { it.unwrittenTokens -= steps }
        read.forEach { (work, tokens) ->
            work.unreadTokens -= tokens
            if (work.unreadTokens == 0 && tokens > 0) {
                work.unwrittenTokens--
                if (!work.cancelled) work.onFirst(nowMs)
            }
        }
        val ended = batch.filter { it.unreadTokens == 0 && it.unwrittenTokens <= 0 }
        batch.removeAll(ended.toSet())
        ended.filterNot { it.cancelled }.forEach { it.onEnd(nowMs) }
        startPass(nowMs)
    }

    private companion object {
        const val TOKENS_PER_THOUSAND = 1_000.0
    }
}
