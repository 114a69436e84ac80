/*
 * All attempts at an agent: takes them into the queue, begins them when a slot is free, and ends them. Used by the
 * traffic thread only.
 */
package org.bramleyspur.daemon.entry

import io.grpc.stub.ServerCallStreamObserver
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.telemetry.Tracing
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.ExecuteEvent
import org.bramleyspur.protocol.LoadReport
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.admission.AdmissionEffect
import org.bramleyspur.traffic.admission.AdmissionQueue
import org.bramleyspur.traffic.admission.AttemptKey
import org.bramleyspur.traffic.admission.AttemptOffer
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason

/** Attempts at the agent run [incarnation]. */
class AttemptBoard(
    private val incarnation: Incarnation,
    private val timers: TimerService,
    internal val tracing: Tracing,
    internal val metrics: AgentMetrics,
    private val runner: BackendRunner,
) {
    private val queue = AdmissionQueue(slots = 1)
    private val streams = HashMap<AttemptKey, AttemptStream>()
    private val received = object : LinkedHashMap<String, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > TransitClock.MAX_ENTRIES
    }
    private val transit = TransitClock()

    /** Cache events of the engine, for the entries. */
    val cacheEvents = CacheEventBuffer()
    private var gate: ServingGate = ServingGate.Closed

    /** Attempts that run on the backend server; may be read by any thread. */
    @Volatile
    var running = 0
        private set

    /** Starts to drop what expires. */
    fun start() {
        timers.every(TICK_MS) { carryOut(queue.tick(timers.nowMs())) }
    }

    /** Sets what the backend server may do from now on. */
    fun setGate(gate: ServingGate) {
        this.gate = gate
        carryOut(queue.setServing(gate !is ServingGate.Closed, timers.nowMs()))
    }

    /** Sets the number of requests that the backend server runs at once. */
    fun setSlots(slots: Int) = carryOut(queue.setSlots(slots, timers.nowMs()))

    /** Refuses new attempts; what runs finishes. */
    fun drain() = carryOut(queue.drain(timers.nowMs()))

    /** Takes new attempts again. */
    fun endDrain() = queue.endDrain()

    /** Ends all runs as incomplete. */
    fun breakAll(message: String) = streams.values.filter { it.isRunning }.forEach { it.breakOff(message) }

    /** Takes an attempt of an entry. */
    internal fun offer(start: Start, events: ServerCallStreamObserver<ExecuteEvent>): AttemptStream {
        val nowMs = timers.nowMs()
        received.merge(start.entry, 1L, Long::plus)
        val delayMs = transit.delayMs(start.entry, start.sentAtMs, nowMs)
        val agentSpan = tracing.start("agent", start.traceparent)
        val queueSpan = tracing.start("queue", agentSpan.traceparent)
        val stream = AttemptStream(start, nowMs - delayMs + start.timeoutMs, this, events, agentSpan, queueSpan)
        when {
            start.incarnation != incarnation.value ->
                stream.refuse(RefusalReason.WRONG_INCARNATION, 0, "the attempt is meant for another run of this agent")

            !gate.mayBegin(start, nowMs) ->
                stream.refuse(RefusalReason.NOT_SERVING, NOT_SERVING_RETRY_MS, "this agent does not serve the request")

            else -> admit(stream, nowMs)
        }
        return stream
    }

    /** The entry cancelled the attempt, or its connection closed when [gone]. */
    internal fun cancel(stream: AttemptStream, gone: Boolean) {
        if (streams[stream.key] !== stream) return
        if (gone && stream.isRunning) return stream.abandon()
        carryOut(queue.cancel(stream.key, timers.nowMs()))
    }

    /** What is known of an attempt; with [cancel] one that has not begun never will. */
    fun lookup(key: AttemptKey, cancel: Boolean): LookupState {
        val result = queue.lookup(key, cancel, timers.nowMs())
        carryOut(result.effects)
        return result.state
    }

    internal fun mayDeliver(): Boolean = gate.mayDeliver(timers.nowMs())

    internal fun onRunEnded(stream: AttemptStream) {
        streams.remove(stream.key, stream)
        leaveRunning()
        carryOut(queue.ended(stream.key, timers.nowMs()))
    }

    internal fun onNotBegun(stream: AttemptStream, reason: RefusalReason, message: String) {
        leaveRunning()
        carryOut(queue.notBegun(stream.key, reason, timers.nowMs()), message)
    }

    internal fun loadFor(entry: String): LoadReport {
        val load = queue.load(timers.nowMs())
        return LoadReport
            .newBuilder()
            .setRunning(load.running)
            .setQueued(load.queued)
            .setSlots(load.slots)
            .setPredictedWaitMs(load.predictedWaitMs.toInt())
            .setReceived(received[entry] ?: 0)
            .addAllCacheEvents(cacheEvents.takeFor(entry))
            .build()
    }

    private fun admit(stream: AttemptStream, nowMs: Long) {
        val start = stream.start
        val offer = AttemptOffer(
            key = stream.key,
            account = start.account,
            weight = start.weight.coerceAtLeast(1),
            priority = start.priority,
            patienceMs = start.patienceMs.toLong(),
            deadlineMs = stream.deadlineMs,
            idempotent = start.idempotent,
        )
        val known = streams.putIfAbsent(stream.key, stream)
        if (known != null) {
            stream.refuse(RefusalReason.DUPLICATE, 0, "this attempt has been received before")
        } else {
            carryOut(queue.offer(offer, nowMs))
        }
    }

    private fun carryOut(effects: List<AdmissionEffect>, message: String = "") {
        effects.forEach { carryOut(it, message) }
    }

    private fun carryOut(effect: AdmissionEffect, message: String) {
        val stream = streams[effect.key] ?: return
        when (effect) {
            is AdmissionEffect.Begin -> begin(stream)
            is AdmissionEffect.CancelRun -> stream.breakOff("cancelled by the entry")
            is AdmissionEffect.Refuse -> {
                streams.remove(effect.key)
                stream.refuse(effect.reason, effect.retryAfterMs, message.ifEmpty { "refused before it began" })
            }
        }
    }

    private fun begin(stream: AttemptStream) {
        val nowMs = timers.nowMs()
        running += 1
        metrics.running.inc()
        if (gate.mayBegin(stream.start, nowMs)) {
            stream.begin(runner, nowMs)
        } else {
            onNotBegun(stream, RefusalReason.NOT_SERVING, "this agent does not serve the request any more")
        }
    }

    private fun leaveRunning() {
        running -= 1
        metrics.running.dec()
    }

    private companion object {
        const val TICK_MS = 100L
        const val NOT_SERVING_RETRY_MS = 100L
    }
}
