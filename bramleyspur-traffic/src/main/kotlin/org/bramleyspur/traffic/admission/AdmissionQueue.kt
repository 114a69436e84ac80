/*
 * The queue of an agent in front of its backend server. It is the only queue in the system, so it decides which attempt
 * begins next and which ones are refused. Everything that it refuses is proved not to have begun.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ceil

/**
 * Queue and slots of one backend server. Used by one thread; all times are monotonic milliseconds.
 *
 * @param slots requests that the backend server runs at once
 * @param firstServiceMs estimate of the service time until requests have been measured
 * @param keepEndedMs time for which the end of a non-idempotent attempt is remembered; the longest retention of the
 *   idempotency keys of its service
 */
class AdmissionQueue(slots: Int, firstServiceMs: Long = 1000, keepEndedMs: Long = DEFAULT_KEEP_ENDED_MS) {
    private data class Run(val offer: AttemptOffer, val begunMs: Long)

    private val memory = AttemptMemory(keepEndedMs)
    private var slots = slots
    private var queue = FairQueue()
    private var shares = SlotShares()
    private var runs: PersistentMap<AttemptKey, Run> = persistentMapOf()
    private var serviceMs = firstServiceMs.toDouble()
    private var serving = true
    private var leavingSinceMs: Long? = null

    /** Takes an attempt in, or refuses it. */
    fun offer(offer: AttemptOffer, nowMs: Long): List<AdmissionEffect> {
        val reason = refusalOf(offer, nowMs)
        if (reason != null) return listOf(AdmissionEffect.Refuse(offer.key, reason, retryAfter(reason, offer, nowMs)))
        queue = queue.add(offer, nowMs)
        shares = shares.change(offer, nowMs, waiting = 1)
        return dispatch(nowMs)
    }

    /** The run has ended, whole or broken, and its slot is free. */
    fun ended(key: AttemptKey, nowMs: Long): List<AdmissionEffect> {
        val run = release(key, nowMs) ?: return emptyList()
        serviceMs += (nowMs - run.begunMs - serviceMs) * SERVICE_GAIN
        memory.end(run.offer)
        return dispatch(nowMs)
    }

    /** The backend server refused the order, which proves that it did not begin. */
    fun notBegun(key: AttemptKey, reason: RefusalReason, nowMs: Long): List<AdmissionEffect> {
        val run = release(key, nowMs) ?: return emptyList()
        memory.bar(key, run.offer.deadlineMs)
        return listOf(AdmissionEffect.Refuse(key, reason, retryAfter(reason, run.offer, nowMs))) + dispatch(nowMs)
    }

    /** The entry cancelled the attempt, or the entry's connection closed. */
    fun cancel(key: AttemptKey, nowMs: Long): List<AdmissionEffect> {
        if (key in runs) return listOf(AdmissionEffect.CancelRun(key))
        if (memory.hasEnded(key)) return emptyList()
        val waiting = queue.find(key)
        memory.bar(key, waiting?.offer?.deadlineMs ?: (nowMs + BAR_UNKNOWN_MS))
        if (waiting == null) return emptyList()
        remove(waiting, nowMs)
        return listOf(AdmissionEffect.Refuse(key, RefusalReason.CANCELLED, 0)) + dispatch(nowMs)
    }

    /** What is known of the attempt; with [cancel], one that has not begun is refused from now on. */
    fun lookup(key: AttemptKey, cancel: Boolean, nowMs: Long): LookupResult = when {
        key in runs -> LookupResult(LookupState.RUNNING, emptyList())
        memory.hasEnded(key) -> LookupResult(LookupState.ENDED, emptyList())
        cancel -> LookupResult(LookupState.NOT_BEGUN, cancel(key, nowMs))
        else -> LookupResult(LookupState.NOT_BEGUN, emptyList())
    }

    /** Sets whether the replica is complete and the lease valid; the queue of one that does not serve is refused. */
    fun setServing(serving: Boolean, nowMs: Long): List<AdmissionEffect> {
        this.serving = serving
        return if (serving) dispatch(nowMs) else refuseAll(RefusalReason.NOT_SERVING, nowMs)
    }

    /** Refuses new attempts; what waits still begins for a short time, and what runs finishes. */
    fun drain(nowMs: Long): List<AdmissionEffect> {
        if (leavingSinceMs == null) leavingSinceMs = nowMs
        return dispatch(nowMs)
    }

    /** Takes new attempts again. */
    fun endDrain() {
        leavingSinceMs = null
    }

    /** Sets the number of [slots]. */
    fun setSlots(slots: Int, nowMs: Long): List<AdmissionEffect> {
        this.slots = slots
        return dispatch(nowMs)
    }

    /** Drops what has expired; called about once each 100 ms. */
    fun tick(nowMs: Long): List<AdmissionEffect> {
        memory.prune(nowMs)
        queue = queue.prune()
        shares = shares.prune(nowMs)
        return dispatch(nowMs)
    }

    /** Whether nothing waits or runs. */
    fun isIdle(): Boolean = runs.isEmpty() && queue.size == 0

    /** Load to report to entries; the wait is that of an account without waiting attempts. */
    fun load(nowMs: Long): QueueLoad =
        QueueLoad(runs.size, queue.size, slots, predictedWaitMs(account = "", nowMs = nowMs))

    private fun refusalOf(offer: AttemptOffer, nowMs: Long): RefusalReason? = when {
        memory.isBarred(offer.key) -> RefusalReason.CANCELLED
        isKnown(offer.key) -> RefusalReason.DUPLICATE
        leavingSinceMs != null -> RefusalReason.LEAVING
        !serving -> RefusalReason.NOT_SERVING
        offer.deadlineMs <= nowMs -> RefusalReason.EXPIRED
        predictedWaitMs(offer.account, nowMs) > offer.patienceMs -> RefusalReason.QUEUE_FULL
        else -> null
    }

    private fun isKnown(key: AttemptKey) = key in runs || memory.hasEnded(key) || queue.find(key) != null

    private fun predictedWaitMs(account: String, nowMs: Long): Long {
        val reserve = shares.reserveAgainst(account, slots, nowMs)
        val ahead = queue.ahead(account)
        val usable = (slots - reserve).coerceAtLeast(1)
        val free = slots - reserve - runs.size
        if (ahead < free) return 0
        return ceil((ahead - maxOf(free, 0) + 1) * serviceMs / usable).toLong()
    }

    private fun retryAfter(reason: RefusalReason, offer: AttemptOffer, nowMs: Long): Long = when (reason) {
        RefusalReason.QUEUE_FULL ->
            (predictedWaitMs(offer.account, nowMs) - offer.patienceMs).coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

        RefusalReason.NOT_SERVING, RefusalReason.LEAVING -> ELSEWHERE_RETRY_AFTER_MS

        else -> 0
    }

    private fun dispatch(nowMs: Long): List<AdmissionEffect> {
        val effects = ArrayList<AdmissionEffect>(2)
        dropExpired(nowMs, effects)
        if (leavingSinceMs?.let { nowMs - it > LEAVING_QUEUE_MS } == true) {
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

    private fun dropExpired(nowMs: Long, effects: MutableList<AdmissionEffect>) {
        if (queue.size == 0) return
        queue.all().filter { it.offer.deadlineMs <= nowMs }.forEach {
            remove(it, nowMs)
            memory.bar(it.offer.key, nowMs + BAR_UNKNOWN_MS)
            effects += AdmissionEffect.Refuse(it.offer.key, RefusalReason.EXPIRED, 0)
        }
    }

    private fun refuseAll(reason: RefusalReason, nowMs: Long): List<AdmissionEffect> = queue.all().map {
        remove(it, nowMs)
        memory.bar(it.offer.key, it.offer.deadlineMs)
        AdmissionEffect.Refuse(it.offer.key, reason, ELSEWHERE_RETRY_AFTER_MS)
    }

    private fun remove(waiting: Waiting, nowMs: Long) {
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
        const val DEFAULT_KEEP_ENDED_MS = 24L * 60 * 60 * 1000

        /** Follows a change of the load within about 20 requests. */
        const val SERVICE_GAIN = 0.05

        /** Longer than any request can be under way; the deadline of an unknown attempt is not known. */
        const val BAR_UNKNOWN_MS = 10L * 60 * 1000

        /** A leaving backend server receives no new work after 3 s. */
        const val LEAVING_QUEUE_MS = 2000L
        const val ELSEWHERE_RETRY_AFTER_MS = 100L
        const val MIN_RETRY_AFTER_MS = 50L
        const val MAX_RETRY_AFTER_MS = 5000L
    }
}
