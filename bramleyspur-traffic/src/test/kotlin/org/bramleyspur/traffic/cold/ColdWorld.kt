package org.bramleyspur.traffic.cold

/** What happens to an entry. */
enum class EntryEvent { JOINS, FREEZES, WAKES, LOSES_TOUCH, REGAINS_TOUCH, KILLED }

/** Which of its pending requests an entry sends in a step, and whether they leave [LATE_MS] after it decided. */
enum class Sending { NONE, AT_ONCE, LATE }

/**
 * An entry of a [ColdWorld].
 *
 * @property view what it knows of the server
 * @property pendingMs decided requests that have not left, by the time at which they leave
 * @property killedMs when the process was killed; null if it never was
 */
data class WorldEntry(
    val admission: ColdAdmission?,
    val view: ServerView,
    val frozen: Boolean = false,
    val inTouch: Boolean = true,
    val pendingMs: List<Long> = emptyList(),
    val killedMs: Long? = null,
) {
    /** Whether control does not know the entry, or the entry does not know what control knows. */
    val isDisturbed: Boolean get() = admission == null || frozen || !inTouch

    /** Whether a process that was started again after its end may run at [nowMs]. */
    fun canJoin(nowMs: Long): Boolean = admission == null && (killedMs == null || nowMs - killedMs >= RESTART_MS)

    private companion object {
        /** From the end of a process to its first request; the platform's processes take longer. */
        const val RESTART_MS = 4 * ColdWorld.STEP_MS
    }
}

/**
 * One server, which becomes cold at [coldFromMs], and its entries; [departuresMs] are the requests that left within the
 * last second. A request that is sent and arrives within one second is among the departures of that second, however
 * long it takes.
 *
 * @property toldEntries number of entries that control knew one step ago
 */
data class ColdWorld(
    val nowMs: Long,
    val coldFromMs: Long,
    val bounds: ServiceColdBounds,
    val entries: List<WorldEntry>,
    val toldEntries: Int,
    val departuresMs: List<Long> = emptyList(),
) {
    /**
     * The world a step later, after [events] and with [sendings], both by entry. If [controlRestarts], control knows no
     * entry before the next step.
     */
    fun step(events: Map<Int, EntryEvent>, sendings: List<Sending>, controlRestarts: Boolean = false): ColdWorld {
        val stepMs = nowMs + STEP_MS
        val next = entries.mapIndexed { index, entry -> entry.after(events[index], stepMs).told(stepMs) }
        val sent = next.mapIndexed { index, entry -> entry.send(sendings[index], stepMs) }
        // A frozen process sends nothing; what it has decided leaves when it wakes.
        val left = sent.filterNot { it.frozen }.flatMap { entry -> entry.pendingMs.filter { it < stepMs + STEP_MS } }
        return copy(
            nowMs = stepMs,
            entries = sent.map { entry ->
                if (entry.frozen) entry else entry.copy(pendingMs = entry.pendingMs.filter { it >= stepMs + STEP_MS })
            },
            toldEntries = if (controlRestarts) 0 else sent.count { !it.isDisturbed },
            departuresMs = (departuresMs.filter { it > stepMs - SECOND_MS } + left).sorted(),
        )
    }

    private fun WorldEntry.after(event: EntryEvent?, stepMs: Long): WorldEntry = when (event) {
        null -> this
        EntryEvent.JOINS -> copy(admission = ColdAdmission(ControlContact(stepMs)))
        EntryEvent.FREEZES -> copy(frozen = true)
        EntryEvent.WAKES -> copy(frozen = false, pendingMs = pendingMs.map { maxOf(it, stepMs) })
        EntryEvent.LOSES_TOUCH -> copy(inTouch = false)
        EntryEvent.REGAINS_TOUCH -> copy(inTouch = true)
        EntryEvent.KILLED -> WorldEntry(null, view.copy(coldUntilMs = 0, receivedMs = 0), killedMs = stepMs)
    }

    /** A new entry is counted when it is told for the first time; the others learn of it a step later. */
    private fun WorldEntry.told(stepMs: Long): WorldEntry {
        if (frozen || admission == null) return this
        val active = admission.onActive(stepMs)
        if (!inTouch) return copy(admission = active)
        val isNew = active.contact.share(Int.MAX_VALUE) == 0
        val coldUntilMs = if (stepMs >= coldFromMs) Long.MAX_VALUE else 0
        return copy(
            admission = active.onEvent(maxOf(1, toldEntries + if (isNew) 1 else 0), stepMs),
            view = view.copy(receivedMs = stepMs, coldUntilMs = coldUntilMs),
        )
    }

    private fun WorldEntry.send(sending: Sending, stepMs: Long): WorldEntry {
        var state = admission
        if (sending == Sending.NONE || frozen || state == null) return this
        val leavesMs = stepMs + if (sending == Sending.LATE) LATE_MS else 0
        val left = ArrayList<Long>()
        while (left.size < DEMAND && state!!.decide(view, bounds, stepMs) == ColdDecision.Allowed) {
            state = state.onSent(view.id, stepMs)
            left += leavesMs
        }
        return copy(admission = state, pendingMs = pendingMs + left)
    }

    /** Whether the server got more than its limit in a second that began when every entry could know it is cold. */
    val isBroken: Boolean get() {
        val checked = departuresMs.filter { it >= coldFromMs + DETECTION_MS }
        return checked.any { first -> checked.count { it >= first && it < first + SECOND_MS } > bounds.limit }
    }

    companion object {
        /** A window is a whole number of steps, so that requests leave at its very ends. */
        const val STEP_MS = 325L
        const val LATE_MS = 300L
        const val SECOND_MS = 1_000L

        /** Until an entry that lost touch just before notices it, and what it decided until then has left. */
        const val DETECTION_MS = ControlContact.MAX_EVENT_AGE_MS + LATE_MS

        /** More than any share. */
        const val DEMAND = 12

        /** The first [inService] of [entries] run and have been told of each other; the others may join. */
        fun of(entries: Int, inService: Int, limit: Int, coldFromMs: Long): ColdWorld {
            val bounds = ServiceColdBounds(limit, coldStartMs = 0, announcementIntervalMs = STEP_MS)
            val view = ServerView("a", coldUntilMs = 0, receivedMs = 0, ageMs = Long.MAX_VALUE)
            val running = ColdAdmission(ControlContact(-10 * STEP_MS))
            val told = (-9..0L).fold(running) { state, step ->
                state.onActive(step * STEP_MS).onEvent(inService, step * STEP_MS)
            }
            val all = List(entries) { WorldEntry(told.takeIf { _ -> it < inService }, view) }
            return ColdWorld(0, coldFromMs, bounds, all, inService)
        }
    }
}
