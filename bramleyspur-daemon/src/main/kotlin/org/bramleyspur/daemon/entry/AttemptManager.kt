/*
 * Manages all attempts at an agent: queues them, starts them when a slot is free, and ends them. Used by the traffic
 * thread only.
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

/** Attempts received by the agent process with [incarnation]; [runner] runs them on the backend server. */
class AttemptManager(
    private val incarnation: Incarnation,
    private val timers: TimerService,
    internal val tracing: Tracing,
    internal val metrics: AgentMetrics,
    private val runner: BackendRunner,
) {
    private val queue = AdmissionQueue(slots = 1)
    private val streams = HashMap<AttemptKey, AttemptStream>()
    private val receivedByEntry = object : LinkedHashMap<String, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > TransitDelayEstimator.MAX_ENTRIES
    }
    private val delayEstimator = TransitDelayEstimator()

    /** Cache events of the engine that are reported to entries. */
    val cacheEvents = CacheEventBuffer()
    private var gate: ServingGate = ServingGate.Closed

    /** Number of attempts running on the backend server; may be read by any thread. */
    @Volatile
    var running = 0
        private set

    /** Starts the periodic refusal of expired attempts. */
    fun start() {
        timers.every(EXPIRY_CHECK_INTERVAL_MS) { execute(queue.tick(timers.nowMs())) }
    }

    /** Sets which attempts the backend server may start and deliver. */
    fun setGate(gate: ServingGate) {
        this.gate = gate
        execute(queue.setServing(gate !is ServingGate.Closed, timers.nowMs()))
    }

    /** Sets the number of attempts that the backend server runs concurrently. */
    fun setSlots(slots: Int) = execute(queue.setSlots(slots, timers.nowMs()))

    /** Refuses new attempts; running attempts finish. */
    fun drain() = execute(queue.drain(timers.nowMs()))

    /** Accepts new attempts again. */
    fun endDrain() = queue.endDrain()

    /** Ends all running attempts as broken. */
    fun abortAll(message: String) = streams.values.filter { it.isRunning }.forEach { it.endAsBroken(message) }

    /** Queues an attempt of an entry, or refuses it. */
    internal fun offer(start: Start, events: ServerCallStreamObserver<ExecuteEvent>): AttemptStream {
        val nowMs = timers.nowMs()
        receivedByEntry.merge(start.entry, 1L, Long::plus)
        val delayMs = delayEstimator.delayMs(start.entry, start.sentAtMs, nowMs)
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

    /** Cancels an attempt at the request of the entry, or because the entry has [disconnected]. */
    internal fun cancel(stream: AttemptStream, disconnected: Boolean) {
        if (streams[stream.key] !== stream) return
        if (disconnected && stream.isRunning) return stream.abandon()
        execute(queue.cancel(stream.key, timers.nowMs()))
    }

    /** Returns the state of an attempt; with [cancel] an attempt that has not begun is prevented from beginning. */
    fun lookup(key: AttemptKey, cancel: Boolean): LookupState {
        val result = queue.lookup(key, cancel, timers.nowMs())
        execute(result.effects)
        return result.state
    }

    internal fun mayDeliver(): Boolean = gate.mayDeliver(timers.nowMs())

    internal fun onRunEnded(stream: AttemptStream) {
        streams.remove(stream.key, stream)
        decrementRunning()
        execute(queue.ended(stream.key, timers.nowMs()))
    }

    internal fun onNotBegun(stream: AttemptStream, reason: RefusalReason, message: String) {
        decrementRunning()
        execute(queue.notBegun(stream.key, reason, timers.nowMs()), message)
    }

    internal fun loadFor(entry: String): LoadReport {
        val load = queue.load(timers.nowMs())
        return LoadReport
            .newBuilder()
            .setRunning(load.running)
            .setQueued(load.queued)
            .setSlots(load.slots)
            .setPredictedWaitMs(load.predictedWaitMs.toInt())
            .setReceived(receivedByEntry[entry] ?: 0)
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
        val existing = streams.putIfAbsent(stream.key, stream)
        if (existing != null) {
            stream.refuse(RefusalReason.DUPLICATE, 0, "this attempt has been received before")
        } else {
            execute(queue.offer(offer, nowMs))
        }
    }

    private fun execute(effects: List<AdmissionEffect>, message: String = "") {
        effects.forEach { execute(it, message) }
    }

    private fun execute(effect: AdmissionEffect, message: String) {
        val stream = streams[effect.key] ?: return
        when (effect) {
            is AdmissionEffect.Begin -> begin(stream)
            is AdmissionEffect.CancelRun -> stream.endAsBroken("cancelled by the entry")
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

    private fun decrementRunning() {
        running -= 1
        metrics.running.dec()
    }

    private companion object {
        const val EXPIRY_CHECK_INTERVAL_MS = 100L
        const val NOT_SERVING_RETRY_MS = 100L
    }
}
