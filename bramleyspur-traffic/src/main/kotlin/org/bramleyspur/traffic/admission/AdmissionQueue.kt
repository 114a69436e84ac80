/*
 * The queue of an agent in front of its backend server. It is the only queue in the system, so it decides which attempt
 * begins next and which ones are refused. A refused attempt is certain not to have begun.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ceil

/**
 * Queue and slots of one backend server. Not thread-safe; all times are monotonic milliseconds.
 *
 * @param slots requests that the backend server runs at once
 * @param initialServiceMs service time assumed until one has been measured
 * @param endedRetentionMs time for which the end of a non-idempotent attempt is remembered; the longest retention of
 *   the idempotency keys of its service
 */
class AdmissionQueue(slots: Int, initialServiceMs: Long = 1000, endedRetentionMs: Long = DEFAULT_ENDED_RETENTION_MS) {
    private data class Run(val offer: AttemptOffer, val begunAtMs: Long)

    private val history = AttemptHistory(endedRetentionMs)
    private var slots = slots
    private var queue = FairQueue()
    private var shares = SlotShares()
    private var runs: PersistentMap<AttemptKey, Run> = persistentMapOf()
    private var serviceMs = initialServiceMs.toDouble()
    private var serving = true
    private var leavingSinceMs: Long? = null

    /** Queues an attempt, or refuses it. */
    fun offer(offer: AttemptOffer, nowMs: Long): List<AdmissionEffect> {
        val reason = refusalOf(offer, nowMs)
        if (reason != null) return listOf(AdmissionEffect.Refuse(offer.key, reason, retryAfter(reason, offer, nowMs)))
        queue = queue.add(offer, nowMs)
        shares = shares.change(offer, nowMs, waiting = 1)
        return dispatch(nowMs)
    }

    /** Records that a run has ended, complete or not, and frees its slot. */
    fun ended(key: AttemptKey, nowMs: Long): List<AdmissionEffect> {
        val run = release(key, nowMs) ?: return emptyList()
        serviceMs += (nowMs - run.begunAtMs - serviceMs) * SERVICE_TIME_GAIN
        history.recordEnd(run.offer)
        return dispatch(nowMs)
    }

    /** Records that the backend server rejected the attempt, which proves that it did not run. */
    fun rejectedByBackend(key: AttemptKey, reason: RefusalReason, nowMs: Long): List<AdmissionEffect> {
        val run = release(key, nowMs) ?: return emptyList()
        history.block(key, run.offer.deadlineMs)
        return listOf(AdmissionEffect.Refuse(key, reason, retryAfter(reason, run.offer, nowMs))) + dispatch(nowMs)
    }

    /** Cancels the attempt, because the entry requested it or its connection closed. */
    fun cancel(key: AttemptKey, nowMs: Long): List<AdmissionEffect> {
        if (key in runs) return listOf(AdmissionEffect.CancelRun(key))
        if (history.hasEnded(key)) return emptyList()
        val waiting = queue.find(key)
        history.block(key, waiting?.offer?.deadlineMs ?: (nowMs + UNKNOWN_DEADLINE_BLOCK_MS))
        if (waiting == null) return emptyList()
        remove(waiting, nowMs)
        return listOf(AdmissionEffect.Refuse(key, RefusalReason.CANCELLED, 0)) + dispatch(nowMs)
    }

    /** Returns the state of the attempt; with [cancel], an attempt that has not begun is refused from now on. */
    fun lookup(key: AttemptKey, cancel: Boolean, nowMs: Long): LookupResult = when {
        key in runs -> LookupResult(LookupState.RUNNING, emptyList())
        history.hasEnded(key) -> LookupResult(LookupState.ENDED, emptyList())
        cancel -> LookupResult(LookupState.NOT_BEGUN, cancel(key, nowMs))
        else -> LookupResult(LookupState.NOT_BEGUN, emptyList())
    }

    /** Sets whether the replica is complete and the lease valid; if not, all queued attempts are refused. */
    fun setServing(serving: Boolean, nowMs: Long): List<AdmissionEffect> {
        this.serving = serving
        return if (serving) dispatch(nowMs) else refuseAll(RefusalReason.NOT_SERVING, nowMs)
    }

    /** Refuses new attempts; queued ones may still begin for a short time, and running ones finish. */
    fun drain(nowMs: Long): List<AdmissionEffect> {
        if (leavingSinceMs == null) leavingSinceMs = nowMs
        return dispatch(nowMs)
    }

    /** Accepts new attempts again. */
    fun endDrain() {
        leavingSinceMs = null
    }

    /** Sets the number of [slots]. */
    fun setSlots(slots: Int, nowMs: Long): List<AdmissionEffect> {
        this.slots = slots
        return dispatch(nowMs)
    }

    /** Removes expired attempts and records; called about every 100 ms. */
    fun tick(nowMs: Long): List<AdmissionEffect> {
        history.prune(nowMs)
        queue = queue.prune()
        shares = shares.prune(nowMs)
        return dispatch(nowMs)
    }

    /** Whether no attempt is queued or running. */
    fun isIdle(): Boolean = runs.isEmpty() && queue.size == 0

    /** Load to report to entries; the predicted wait is that of an account without queued attempts. */
    fun load(nowMs: Long): QueueLoad =
        QueueLoad(runs.size, queue.size, slots, predictedWaitMs(account = "", nowMs = nowMs))

    private fun refusalOf(offer: AttemptOffer, nowMs: Long): RefusalReason? = when {
        history.isBlocked(offer.key) -> RefusalReason.CANCELLED
        isKnown(offer.key) -> RefusalReason.DUPLICATE
        leavingSinceMs != null -> RefusalReason.LEAVING
        !serving -> RefusalReason.NOT_SERVING
        offer.deadlineMs <= nowMs -> RefusalReason.EXPIRED
        predictedWaitMs(offer.account, nowMs) > offer.patienceMs -> RefusalReason.QUEUE_FULL
        else -> null
    }

    private fun isKnown(key: AttemptKey) = key in runs || history.hasEnded(key) || queue.find(key) != null

    private fun predictedWaitMs(account: String, nowMs: Long): Long {
        val reserve = shares.reserveAgainst(account, slots, nowMs)
        val ahead = queue.countAhead(account)
        val usable = (slots - reserve).coerceAtLeast(1)
        val free = slots - reserve - runs.size
        if (ahead < free) return 0
        return ceil((ahead - maxOf(free, 0) + 1) * serviceMs / usable).toLong()
    }

    private fun retryAfter(reason: RefusalReason, offer: AttemptOffer, nowMs: Long): Long = when (reason) {
        RefusalReason.QUEUE_FULL ->
            (predictedWaitMs(offer.account, nowMs) - offer.patienceMs).coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

        RefusalReason.NOT_SERVING, RefusalReason.LEAVING -> OTHER_BACKEND_RETRY_AFTER_MS

        else -> 0
    }

    private fun dispatch(nowMs: Long): List<AdmissionEffect> {
        val effects = ArrayList<AdmissionEffect>(2)
        refuseExpired(nowMs, effects)
        if (leavingSinceMs?.let { nowMs - it > LEAVING_DISPATCH_LIMIT_MS } == true) {
            effects += refuseAll(RefusalReason.LEAVING, nowMs)
        }
        while (serving && runs.size < slots) {
            val free = slots - runs.size
            val next = queue.next { free > shares.reserveAgainst(it, slots, nowMs) } ?: break
            queue = queue.take(next)
            runs = runs.put(next.offer.key, Run(next.offer, nowMs))
            shares = shares.change(next.offer, nowMs, running = 1, waiting = -1)
            effects += AdmissionEffect.Begin(next.offer.key)
        }
        return effects
    }

    private fun refuseExpired(nowMs: Long, effects: MutableList<AdmissionEffect>) {
        if (queue.size == 0) return
        queue.all().filter { it.offer.deadlineMs <= nowMs }.forEach {
            remove(it, nowMs)
            history.block(it.offer.key, nowMs + UNKNOWN_DEADLINE_BLOCK_MS)
            effects += AdmissionEffect.Refuse(it.offer.key, RefusalReason.EXPIRED, 0)
        }
    }

    private fun refuseAll(reason: RefusalReason, nowMs: Long): List<AdmissionEffect> = queue.all().map {
        remove(it, nowMs)
        history.block(it.offer.key, it.offer.deadlineMs)
        AdmissionEffect.Refuse(it.offer.key, reason, OTHER_BACKEND_RETRY_AFTER_MS)
    }

    private fun remove(waiting: QueuedAttempt, nowMs: Long) {
        queue = queue.remove(waiting)
        shares = shares.change(waiting.offer, nowMs, waiting = -1)
    }

    private fun release(key: AttemptKey, nowMs: Long): Run? {
        val run = runs[key] ?: return null
        runs = runs.remove(key)
        shares = shares.change(run.offer, nowMs, running = -1)
        return run
    }

    private companion object {
        const val DEFAULT_ENDED_RETENTION_MS = 24L * 60 * 60 * 1000

        /** Follows a change of the service time within about 20 requests. */
        const val SERVICE_TIME_GAIN = 0.05

        /** For attempts whose deadline is unknown; longer than any request can be in progress. */
        const val UNKNOWN_DEADLINE_BLOCK_MS = 10L * 60 * 1000

        /** Shorter than the 3 s after which a leaving backend server must receive no new work. */
        const val LEAVING_DISPATCH_LIMIT_MS = 2000L

        /** For refusals by a backend server that is leaving or not serving; another one may accept at once. */
        const val OTHER_BACKEND_RETRY_AFTER_MS = 100L
        const val MIN_RETRY_AFTER_MS = 50L
        const val MAX_RETRY_AFTER_MS = 5000L
    }
}
