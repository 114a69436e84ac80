package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Ok
import com.google.protobuf.ByteString
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.ManualTimers
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.io.OutputStream
import java.io.PrintStream

/**
 * Guards against a group name that a leader issues twice: members of two groups then pass for those of one, and its
 * head opens with only some of them.
 */
class GroupDriverTest {
    private class Case(val name: String, val terms: List<Long?>)

    private val cases = listOf(
        Case("a leader without interruption", listOf(1, 1, 1)),
        Case("a lease that lapses and is renewed", listOf(1, null, 1)),
        Case("a lease that lapses twice", listOf(1, null, 1, null, 1)),
        Case("another term", listOf(1, null, 3)),
        Case("another term without interruption", listOf(1, 2)),
    )

    @TestFactory
    fun `a group name denotes one list of members`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val timers = ManualTimers()
            val orders = ArrayList<EngineOrder>()
            val driver = driver(timers, orders)
            for (term in case.terms) {
                // Engines that leave and come back make the leader form different groups in each period.
                repeat(PLANS_PER_PERIOD) {
                    timers.advance(PLAN_INTERVAL_MS)
                    driver.plan(term, StoredDocument(1, ByteString.EMPTY), engines(timers.nowMs()))
                }
            }
            val joins = orders.mapNotNull { it.command as? EngineCommand.Join }
            expectThat(joins).isNotEmpty()
            val lists = joins.groupBy {
                it.group
            }.mapValues { (_, orders) -> orders.map { it.members }.distinct().size }
            expectThat(lists.filterValues { it > 1 }).isEqualTo(emptyMap())
        }
    }

    private fun driver(timers: ManualTimers, orders: MutableList<EngineOrder>): GroupDriver {
        val calls = EngineCalls(
            order = { order, onResult ->
                orders += order
                timers.after(RESPONSE_MS) { onResult(OrderResult.ACCEPTED, "") }
            },
            probe = { _, onResult ->
                timers.after(RESPONSE_MS) { onResult(ProbeResult.Answered(EngineReport(0, null)), "") }
            },
            closeAllExcept = {},
        )
        val log = DecisionLog(PrintStream(OutputStream.nullOutputStream()), timers::nowMs)
        return GroupDriver(timers, calls, { Ok(document) }, log, lagMs = { 0 }, replan = {})
    }

    /** Engines whose host holds weights from 2 s on; one more of them announces itself every second. */
    private fun engines(nowMs: Long): Map<String, KnownBackend> =
        (1..minOf(MAX_ENGINES, 1 + (nowMs / 1_000).toInt())).associate { number ->
            "e$number" to KnownBackend(engineAnnouncement(number), nowMs)
        }

    private val document = engineDocument(modelSpec("m", 4))

    private companion object {
        const val PLAN_INTERVAL_MS = 100L
        const val PLANS_PER_PERIOD = 60
        const val RESPONSE_MS = 20L
        const val MAX_ENGINES = 12
    }
}
