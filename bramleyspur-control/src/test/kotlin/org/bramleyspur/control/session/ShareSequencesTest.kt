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
private const val MAX_UNDECLARED_MS = 10_000L

/** Guards against exceeding a client account's limit after lost responses, frozen entries and leader changes. */
class ShareSequencesTest {
    @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun sharesNeverExceedTheLimit(@ForAll seed: Long) {
        ShareSimulation(seed, faults = true).run(steps = 2_000)
    }

    /** Guards against shares that stay low, which would also respect the limit. */
    @Test
    fun `the whole limit is in use when nothing fails`() {
        expectThat(ShareSimulation(1, faults = false).run(steps = 600)).isEqualTo(LIMIT)
    }
}

/** An entry, its share, and the end of its lease by its own clock. */
private class SimulatedEntry(val name: InstanceName, var stream: Long) {
    var incarnationNumber = 0
    var share = 0
    var leaseUntilMs = 0L
    var demand = 0
    var connected = false
    var frozen = false
    val pendingResponses = mutableListOf<Pair<Long, SessionEffect.HeartbeatResponse>>()
    val sentAtMs = mutableMapOf<Long, Long>()
}

private class ShareSimulation(seed: Long, private val faults: Boolean) {
    private val random = Random(seed)
    private val account = Account("x", "", maxConcurrent = LIMIT)
    private val declared = Configuration(Revision(1), accounts = persistentMapOf("x" to account))

    /** The first leaders lead without a configuration until one is declared. */
    private val declaredAtMs = random.nextLong(MAX_UNDECLARED_MS)
    private var configuration = Configuration()
    private var streams = 0L
    private var sequence = 0L
    private var nowMs = 0L
    private var term = 1L
    private var state = SessionState.initial()
    private val entries = listOf("a", "b", "c").map { SimulatedEntry(InstanceName(it), 0) }

    /** Lease end and share of earlier incarnations of restarted entries, which may still act on their lease. */
    private val replacedShares = mutableListOf<Pair<Long, Int>>()

    fun run(steps: Int): Int {
        becomeLeader()
        repeat(steps) {
            nowMs += STEP_MS
            if (faults && random.nextInt(50) == 0) fault(entries.random(random))
            if (configuration != declared && nowMs >= declaredAtMs) declare()
            entries.filter { !it.frozen }.forEach { act(it) }
            send(SessionEvent.Tick)
            check(usable() <= LIMIT) { "entries hold ${usable()} of $LIMIT at $nowMs ms" }
        }
        return usable()
    }

    private fun usable() = entries.filter { nowMs < it.leaseUntilMs }.sumOf { it.share } +
        replacedShares.filter { nowMs < it.first }.sumOf { it.second }

    private fun becomeLeader() {
        entries.forEach { it.connected = false }
        state = state.handle(SessionEvent.BecameLeader(term++, configuration, emptyList()), nowMs).state
    }

    private fun declare() {
        configuration = declared
        send(SessionEvent.Committed(declared, emptyList()))
    }

    private fun fault(entry: SimulatedEntry) = when (random.nextInt(6)) {
        0, 1 -> entry.frozen = !entry.frozen
        2 -> entry.connected = false
        3 -> restart(entry)
        4 -> if (random.nextInt(4) == 0) becomeLeader() else Unit
        else -> entry.demand = random.nextInt(30)
    }

    private fun restart(entry: SimulatedEntry) {
        replacedShares += entry.leaseUntilMs to entry.share
        entry.incarnationNumber++
        entry.share = 0
        entry.leaseUntilMs = 0
        entry.connected = false
        entry.frozen = false
    }

    private fun act(entry: SimulatedEntry) {
        if (!entry.connected) connect(entry)
        val due = entry.pendingResponses.filter { it.first <= nowMs && it.second.stream == entry.stream }
        due.forEach { receive(entry, it.second) }
        entry.pendingResponses.removeAll(due)
        if ((nowMs / STEP_MS) % 20 == entry.name.value.first().code % 20L) sendHeartbeat(entry)
    }

    private fun connect(entry: SimulatedEntry) {
        entry.connected = true
        entry.stream = ++streams
        entry.pendingResponses.clear()
        val incarnation = Incarnation("${entry.name}-${entry.incarnationNumber}")
        val hello = ProcessDescription(ProcessRole.ENTRY, entry.name, incarnation, "${entry.name}:1")
        send(SessionEvent.Hello(entry.stream, hello, Revision(1)))
    }

    private fun sendHeartbeat(entry: SimulatedEntry) {
        if (nowMs >= entry.leaseUntilMs) entry.share = 0
        val use = AccountUse(minOf(entry.share, entry.demand), maxOf(0, entry.demand - entry.share), entry.share)
        entry.sentAtMs[++sequence] = nowMs
        val report = HeartbeatReport(sequence, Revision(1), uses = mapOf("x" to use))
        send(SessionEvent.Heartbeat(entry.stream, report))
            .filterIsInstance<SessionEffect.HeartbeatResponse>()
            .forEach { entry.pendingResponses += arrivalMs(entry) to it }
    }

    /** Responses on one stream arrive in order. */
    private fun arrivalMs(entry: SimulatedEntry): Long {
        val delayed = nowMs + random.nextLong(if (faults) 1_500 else 100)
        return maxOf(delayed, entry.pendingResponses.lastOrNull()?.first ?: 0)
    }

    private fun receive(entry: SimulatedEntry, response: SessionEffect.HeartbeatResponse) {
        entry.share = response.shares["x"] ?: 0
        if (response.leaseMs > 0) entry.leaseUntilMs = entry.sentAtMs.getValue(response.sequence) + response.leaseMs
    }

    private fun send(event: SessionEvent): List<SessionEffect> {
        val step = state.handle(event, nowMs)
        state = step.state
        return step.effects
    }
}
