package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a refused stage order that is resent at every planning run, or never repeated. */
class StageOrderTest {
    private val small = EngineCommand.Stage("small")

    private val engines = (1..2).map { readyEngine("e$it", it, listOf("large")) }

    /** The hosts hold the weights of the large model from an earlier order; a group of the small one is missing. */
    private val loaded = PlannerState(
        sentMs = persistentMapOf(
            SentOrder(engines[0].incarnation, EngineCommand.Stage("large")) to START_MS - 20_000,
            SentOrder(engines[1].incarnation, EngineCommand.Stage("large")) to START_MS - 20_000,
        ),
    )

    private fun plan(state: PlannerState, nowMs: Long): PlanStep {
        val known = engines.associate { it.id to KnownBackend(it, nowMs) }
        return planGroups(state, PlannerInput(nowMs, 1, DOCUMENT, known, emptyMap(), trafficStarted = true))
    }

    private fun PlanStep.stages() = orders.count { it.command == small }

    private class Case(val result: OrderResult, val laterMs: Long, val orders: Int)

    private val cases = listOf(
        Case(OrderResult.REFUSED, laterMs = 100, orders = 0),
        Case(OrderResult.REFUSED, laterMs = 4_000, orders = 0),
        Case(OrderResult.REFUSED, laterMs = 6_000, orders = 2),
        Case(OrderResult.UNANSWERED, laterMs = 100, orders = 0),
        Case(OrderResult.UNANSWERED, laterMs = 6_000, orders = 2),
        Case(OrderResult.ACCEPTED, laterMs = 6_000, orders = 0),
    )

    @TestFactory
    fun `stage orders are repeated after the retry interval`() = cases.map { case ->
        DynamicTest.dynamicTest("${case.result}, ${case.laterMs} ms later") {
            val first = plan(plan(loaded, START_MS - SHORTAGE_MS).state, START_MS)
            expectThat(first.stages()).isEqualTo(2)
            val afterResults = engines.fold(first.state) { state, engine ->
                onOrderResult(state, engine.incarnation, small, case.result, START_MS + 10)
            }
            expectThat(plan(afterResults, START_MS + case.laterMs).stages()).isEqualTo(case.orders)
        }
    }

    private companion object {
        const val START_MS = 100_000L

        /** Weights are replaced only when the other model has lacked engines for some time. */
        const val SHORTAGE_MS = 3_000L
    }
}
