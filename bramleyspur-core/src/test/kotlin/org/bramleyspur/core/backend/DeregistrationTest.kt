package org.bramleyspur.core.backend

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Guards against a deregistered backend server that a delayed announcement brings back. */
class DeregistrationTest {
    private fun ready(startedAtMs: Long, sequence: Long) =
        testAnnouncement.copy(startedAtMs = startedAtMs, sequence = sequence)

    private fun BackendDirectory.deregistered(startedAtMs: Long?): BackendDirectory =
        tombstone("a", startedAtMs)?.let { withAnnouncement(it, 0) } ?: this

    private class Case(
        val name: String,
        val before: List<Announcement>,
        val deregisteredLife: Long?,
        val after: List<Announcement>,
        val ready: Boolean,
    )

    private val cases = listOf(
        Case("an announcement under way", listOf(ready(100, 5)), 100, listOf(ready(100, 6)), ready = false),
        Case("two announcements", listOf(ready(100, 5)), 100, listOf(ready(100, 6), ready(100, 7)), ready = false),
        Case("no start time in the call", listOf(ready(100, 5)), null, listOf(ready(100, 9)), ready = false),
        Case("an unknown server", emptyList(), 100, listOf(ready(100, 7)), ready = false),
        Case("an unknown later life", listOf(ready(100, 5)), 200, listOf(ready(200, 3)), ready = false),
        Case("announcements of the life before", listOf(ready(200, 1)), 200, listOf(ready(100, 90)), ready = false),
        Case("a later life", listOf(ready(100, 5)), 100, listOf(ready(200, 1)), ready = true),
        Case("a later life, before the call arrives", listOf(ready(200, 1)), 100, emptyList(), ready = true),
        Case("a later life of an unknown server", emptyList(), 100, listOf(ready(200, 1)), ready = true),
    )

    @TestFactory
    fun `the end is final for a life, whatever the numbers of delayed announcements are`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val known = case.before.fold(BackendDirectory()) { directory, next -> directory.withAnnouncement(next, 0) }
            val directory = case.after.fold(known.deregistered(case.deregisteredLife)) { all, next ->
                all.withAnnouncement(next, 0)
            }
            expectThat(directory.readyPlainBackends("s").isNotEmpty()).isEqualTo(case.ready)
        }
    }

    @Test
    fun `a report of what another process knew does not bring an ended life back`() {
        val known = BackendDirectory().withAnnouncement(ready(100, 5), 0)
        val reporting = known.withAnnouncement(ready(100, 90), 0).backends.values.single().announcement
        expectThat(known.deregistered(100).withAnnouncement(reporting, 0).readyPlainBackends("s")).isEmpty()
    }

    /** Reorders, repeats and delays the messages between an engine, three control instances and an entry. */
    @TestFactory
    fun `delayed messages between several instances`() = (0L until SEEDS step SEEDS_PER_TEST).map { first ->
        DynamicTest.dynamicTest("seeds $first to ${first + SEEDS_PER_TEST - 1}") {
            val broken = (first until first + SEEDS_PER_TEST).filterNot { ExchangeSimulation(Random(it)).holds() }
            expectThat(broken).isEmpty()
        }
    }

    @Test
    fun `the simulation reaches late announcements of ended lives`() {
        val late = (0L until SEEDS_PER_TEST).count { seed ->
            ExchangeSimulation(Random(seed)).let {
                it.holds()
                it.lateAnnouncements > 0
            }
        }
        expectThat(late > SEEDS_PER_TEST / 2).isEqualTo(true)
        expectThat(cases.map { it.ready }.distinct()).containsExactly(false, true)
    }

    /** The lives of one engine; the rule is stated from what the engine sent and not from what an instance holds. */
    private class ExchangeSimulation(private val random: Random) {
        private class Delivery(val atMs: Long, val order: Int, val action: () -> Unit)

        private val deliveries = java.util.PriorityQueue(compareBy<Delivery>({ it.atMs }, { it.order }))
        private val directories = MutableList(INSTANCES) { BackendDirectory() }

        /** For each instance, the lives whose end has reached it. */
        private val ended = List(INSTANCES) { HashSet<Long>() }
        private var nowMs = 0L
        private var order = 0
        private var violated = false
        var lateAnnouncements = 0
            private set

        private fun schedule(delayMs: Long, action: () -> Unit) {
            deliveries += Delivery(nowMs + delayMs, order++, action)
        }

        private fun delay(maxMs: Long) = random.nextLong(1, maxMs)

        fun holds(): Boolean {
            val lives = random.nextInt(1, 4)
            var atMs = 0L
            val lastIsAlive = random.nextBoolean()
            for (life in 1L..lives) {
                val heartbeats = random.nextInt(1, 6)
                val endsNow = life < lives || !lastIsAlive
                for (sequence in 1L..heartbeats) schedule(atMs + sequence * HEARTBEAT_MS) { heartbeat(life, sequence) }
                atMs += (heartbeats + 1) * HEARTBEAT_MS
                if (endsNow) schedule(atMs) { deregister(life) }
                atMs += random.nextLong(1, 3 * HEARTBEAT_MS)
            }
            // The engine goes on announcing, so that every message that was lost to an older one is made up for.
            if (lastIsAlive) {
                for (n in 1L..10L) schedule(atMs + n * HEARTBEAT_MS) { heartbeat(lives.toLong(), 100 + n) }
            }
            while (deliveries.isNotEmpty()) {
                val next = deliveries.poll()
                nowMs = next.atMs
                next.action()
                check()
            }
            return !violated && directories.all { it.readyPlainBackends("s").isNotEmpty() == lastIsAlive }
        }

        private fun heartbeat(life: Long, sequence: Long) = repeat(random.nextInt(1, 3)) {
            val instance = random.nextInt(CONTROL_INSTANCES)
            schedule(delay(MAX_HEARTBEAT_DELAY_MS)) {
                if (life in ended[instance]) lateAnnouncements++
                receive(instance, testAnnouncement.copy(startedAtMs = life, sequence = sequence))
            }
        }

        private fun deregister(life: Long) {
            val instance = random.nextInt(CONTROL_INSTANCES)
            schedule(delay(HEARTBEAT_MS)) { directories[instance].tombstone("a", life)?.let { receive(instance, it) } }
        }

        /** Records an announcement, and passes it on or renews it as control instances do. */
        private fun receive(instance: Int, announcement: Announcement) {
            val before = directories[instance].backends["a"]?.announcement
            if (!record(instance, announcement)) return
            val renewal = before != null && announcement.hasContentOf(before)
            for (other in directories.indices.minus(instance)) {
                if (random.nextInt(LOST_ONE_IN) == 0 && announcement.state != BackendState.GONE) continue
                schedule(delay(MAX_EXCHANGE_DELAY_MS)) {
                    if (renewal) renew(other, instance, announcement) else record(other, announcement)
                }
            }
        }

        private fun renew(instance: Int, from: Int, announcement: Announcement) {
            val renewal =
                Renewal("a", announcement.startedAtMs, announcement.sequence, announcement.contentChecksum())
            when (val outcome = directories[instance].renew(renewal, 0)) {
                is RenewalOutcome.Renewed -> directories[instance] = outcome.directory
                RenewalOutcome.Outdated -> Unit
                RenewalOutcome.Unknown -> schedule(delay(MAX_EXCHANGE_DELAY_MS)) {
                    directories[from].backends["a"]?.let { record(instance, it.announcement) }
                }
            }
        }

        private fun record(instance: Int, announcement: Announcement): Boolean {
            if (announcement.state == BackendState.GONE) ended[instance] += announcement.startedAtMs
            val next = directories[instance].withAnnouncement(announcement, 0)
            return (next !== directories[instance]).also { directories[instance] = next }
        }

        private fun check() = directories.forEachIndexed { instance, directory ->
            val inUse = directory.readyPlainBackends("s").map { it.startedAtMs }
            if (inUse.any { it in ended[instance] }) violated = true
        }
    }

    private companion object {
        const val SEEDS = 4_000L
        const val SEEDS_PER_TEST = 500L
        const val CONTROL_INSTANCES = 3
        const val INSTANCES = 4
        const val HEARTBEAT_MS = 1_200L
        const val MAX_HEARTBEAT_DELAY_MS = 6_000L
        const val MAX_EXCHANGE_DELAY_MS = 800L
        const val LOST_ONE_IN = 5
    }
}
