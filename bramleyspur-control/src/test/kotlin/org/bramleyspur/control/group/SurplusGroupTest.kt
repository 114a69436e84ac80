package org.bramleyspur.control.group

import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against engines with staged weights that stay idle while requests are refused, such as seven engines for 16 s
 * after a domain has recovered, against spares of one model only, and against engines that alternate between the
 * weights of two models.
 */
class SurplusGroupTest {
    /** [staged] lists the models on the hosts of each domain's engines; empty for none. */
    private class Case(
        val name: String,
        val staged: Map<String, List<String>>,
        val groups: Map<String, Int>,
        val stages: Map<String, Int>? = null,
    )

    private val cases = listOf(
        Case(
            "spares beyond the one reserved for a model form groups",
            mapOf("a" to List(5) { "large" } + List(4) { "small" }),
            groups = mapOf("large" to 1, "small" to 2),
        ),
        Case(
            "a recovered domain serves at once although a large group lacks one engine",
            mapOf(
                "a" to List(3) { "large" } + List(4) { "small" },
                "b" to List(4) { "large" },
                "c" to List(4) { "large" },
            ),
            groups = mapOf("large" to 2, "small" to 2),
        ),
        Case(
            "spares are staged for each model of the domain",
            mapOf("a" to List(4) { "large" } + List(2) { "small" } + listOf("", "")),
            groups = mapOf("large" to 1, "small" to 1),
            stages = mapOf("large" to 1, "small" to 1),
        ),
        Case(
            "no spare loads other weights only because another model lacks a spare",
            mapOf("a" to List(4) { "large" } + List(4) { "small" }),
            groups = mapOf("large" to 1, "small" to 1),
            stages = emptyMap(),
        ),
        Case(
            "a new engine loads the weights that an incomplete group needs",
            mapOf("a" to List(2) { "small" } + List(3) { "large" } + listOf("")),
            groups = mapOf("small" to 1),
            stages = mapOf("large" to 1),
        ),
    )

    private fun engines(case: Case): List<Announcement> = case.staged.flatMap { (domain, models) ->
        models.mapIndexed { index, model ->
            readyEngine("$domain$index", index + 1, listOf(model).filter { it.isNotEmpty() }, domain)
        }
    }

    @TestFactory
    fun `groups and orders to stage`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = engines(case)
            val known = engines.associate { it.id to KnownBackend(it, NOW_MS) }
            val state = PlannerState(
                knownOrders = engines
                    .associate { it.incarnation to KnownOrders(0, 0, groupMismatch = false) }
                    .toPersistentMap(),
            )
            val step = planGroups(state, PlannerInput(NOW_MS, 1, DOCUMENT, known, emptyMap(), trafficStarted = true))
            val formed = step.state.groups.values.filter { it.phase == GroupPhase.FORMING }
            expectThat(formed.groupingBy { it.model }.eachCount()).isEqualTo(case.groups)
            val staged = step.orders.mapNotNull { (it.command as? EngineCommand.Stage)?.model }
            case.stages?.let { expectThat(staged.groupingBy { it }.eachCount()).isEqualTo(it) }
        }
    }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
