package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentMapOf
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

private const val LIMIT = 12
private const val STEP_MS = 50L

/** Guards the limit of a client account over all entries, with lost answers, frozen entries and leader changes. */
class ShareSequencesTest {
    @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun sharesNeverExceedTheLimit(@ForAll seed: Long) {
        ShareModel(seed, faults = true).run(steps = 2_000)
    }

    /** Shares that stay low would also satisfy the limit. */
    @Test
    fun `the whole limit is in use when nothing fails`() {
        expectThat(ShareModel(1, faults = false).run(steps = 600)).isEqualTo(LIMIT)
    }
}

/** An entry, its share, and the end of its lease by its own clock. */
private class ModelEntry(val name: InstanceName, var stream: Long) {
    var life = 0
    var share = 0
    var leaseUntilMs = 0L
    var demand = 0
    var connected = false
    var frozen = false
    val arriving = mutableListOf<Pair<Long, SessionEffect.Answer>>()
    val sentAtMs = mutableMapOf<Long, Long>()
}

private class ShareModel(seed: Long, private val faults: Boolean) {
    private val random = Random(seed)
    private val account = Account("x", "", maxConcurrent = LIMIT)
    private val configuration = Configuration(Revision(1), accounts = persistentMapOf("x" to account))
    private var streams = 0L
    private var sequence = 0L
    private var nowMs = 0L
    private var term = 1L
    private var state = SessionState.initial()
    private val entries = listOf("a", "b", "c").map { ModelEntry(InstanceName(it), 0) }

    /** The older runs of restarted entries, which may still act on their lease. */
    private val ghosts = mutableListOf<Pair<Long, Int>>()

    fun run(steps: Int): Int {
        lead()
        repeat(steps) {
            nowMs += STEP_MS
            if (faults && random.nextInt(50) == 0) fault(entries.random(random))
            entries.filter { !it.frozen }.forEach { act(it) }
            send(SessionEvent.Tick)
            check(usable() <= LIMIT) { "entries hold ${usable()} of $LIMIT at $nowMs ms" }
        }
        return usable()
    }

    private fun usable() = entries.filter { nowMs < it.leaseUntilMs }.sumOf { it.share } +
        ghosts.filter { nowMs < it.first }.sumOf { it.second }

    private fun lead() {
        entries.forEach { it.connected = false }
        state = state.handle(SessionEvent.BecameLeader(term++, configuration, emptyList()), nowMs).state
    }

    private fun fault(entry: ModelEntry) = when (random.nextInt(6)) {
        0, 1 -> entry.frozen = !entry.frozen
        2 -> entry.connected = false
        3 -> restart(entry)
        4 -> if (random.nextInt(4) == 0) lead() else Unit
        else -> entry.demand = random.nextInt(30)
    }

    private fun restart(entry: ModelEntry) {
        ghosts += entry.leaseUntilMs to entry.share
        entry.life++
        entry.share = 0
        entry.leaseUntilMs = 0
        entry.connected = false
        entry.frozen = false
    }

    private fun act(entry: ModelEntry) {
        if (!entry.connected) connect(entry)
        val due = entry.arriving.filter { it.first <= nowMs && it.second.stream == entry.stream }
        due.forEach { receive(entry, it.second) }
        entry.arriving.removeAll(due)
        if ((nowMs / STEP_MS) % 20 == entry.name.value.first().code % 20L) beat(entry)
    }

    private fun connect(entry: ModelEntry) {
        entry.connected = true
        entry.stream = ++streams
        entry.arriving.clear()
        val run = Incarnation("${entry.name}-${entry.life}")
        val hello = Announcement(ProcessRole.ENTRY, entry.name, run, "${entry.name}:1")
        send(SessionEvent.Hello(entry.stream, hello, Revision(1)))
    }

    private fun beat(entry: ModelEntry) {
        if (nowMs >= entry.leaseUntilMs) entry.share = 0
        val use = AccountUse(minOf(entry.share, entry.demand), maxOf(0, entry.demand - entry.share), entry.share)
        entry.sentAtMs[++sequence] = nowMs
        val report = HeartbeatReport(sequence, Revision(1), uses = mapOf("x" to use))
        send(SessionEvent.Heartbeat(entry.stream, report))
            .filterIsInstance<SessionEffect.Answer>()
            .forEach { entry.arriving += arrivalMs(entry) to it }
    }

    /** Answers on one stream arrive in order. */
    private fun arrivalMs(entry: ModelEntry): Long {
        val delayed = nowMs + random.nextLong(if (faults) 1_500 else 100)
        return maxOf(delayed, entry.arriving.lastOrNull()?.first ?: 0)
    }

    private fun receive(entry: ModelEntry, answer: SessionEffect.Answer) {
        entry.share = answer.shares["x"] ?: 0
        if (answer.leaseMs > 0) entry.leaseUntilMs = entry.sentAtMs.getValue(answer.sequence) + answer.leaseMs
    }

    private fun send(event: SessionEvent): List<SessionEffect> {
        val step = state.handle(event, nowMs)
        state = step.state
        return step.effects
    }
}
