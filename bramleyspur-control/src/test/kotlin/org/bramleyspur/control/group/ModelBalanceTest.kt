package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.KnownBackend
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo

/** Guards against a model that loses its engines to another one, with less work for each, after engines are lost. */
class ModelBalanceTest {
    private fun targets(vararg engines: Int): DomainTargets =
        wantedGroups(engines.mapIndexed { index, count -> "d$index" to DomainEngines(count) }.toMap(), MODELS)

    private fun DomainTargets.count(model: String) = values.sumOf { it[model] ?: 0 }

    @TestFactory
    fun `targets follow the shares of the work when engines are missing`() =
        (5..9).flatMap { a -> (5..a).flatMap { b -> (5..b).map { c -> listOf(a, b, c) } } }
            .filter { it.sum() >= ENGINES_OF_THREE_GROUPS_EACH }
            .map { engines ->
                DynamicTest.dynamicTest("$engines engines") {
                    val wanted = targets(*engines.toIntArray())
                    val work = MODELS.map { it.workShare / (it.groupSize * wanted.count(it.name)) }
                    expectThat(work.max() / work.min()).isLessThanOrEqualTo(MAX_WORK_RATIO)
                }
            }

    @Test
    fun `each model of a domain has a spare there`() {
        val wanted = targets(8, 8, 8)
        for (domain in wanted.keys) {
            expectThat(MODELS.map { wanted.spares(domain, it, MODELS) }).isEqualTo(listOf(1, 1))
        }
    }

    /** [staged] lists the models on the hosts of each domain's engines; [stages] the orders to load weights. */
    private class Case(val name: String, val staged: Map<String, List<String>>, val stages: Map<String, Int>)

    private fun domain(large: Int, small: Int, new: Int = 0) =
        List(large) { "large" } + List(small) { "small" } + List(new) { "" }

    private val cases = listOf(
        Case(
            "a spare of the other model completes the group of the model with fewer engines for its work",
            mapOf("a" to domain(large = 3, small = 3)),
            stages = mapOf("large" to 1),
        ),
        Case(
            "members of a lost large group do not load the small model",
            mapOf("a" to domain(4, 3), "b" to domain(3, 4), "c" to domain(4, 2)),
            stages = mapOf("large" to 1),
        ),
        Case(
            "a new engine loads the model with fewer engines for its work",
            mapOf("a" to domain(4, 3), "b" to domain(4, 3), "c" to domain(4, 2, new = 1)),
            stages = mapOf("large" to 1),
        ),
    )

    private fun engines(case: Case): List<Announcement> = case.staged.flatMap { (domain, models) ->
        models.mapIndexed { index, model ->
            readyEngine("$domain$index", index + 1, listOf(model).filter { it.isNotEmpty() }, domain)
        }
    }

    @TestFactory
    fun `orders to load weights after a lasting shortage`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val engines = engines(case)
            val orders = engines.associate { it.incarnation to KnownOrders(0, 0, groupMismatch = false) }
            val lastModels = engines.filter { it.stagedModels.isNotEmpty() }
                .associate { it.incarnation to it.stagedModels.first() }
            val state = PlannerState(knownOrders = orders.toPersistentMap(), lastModel = lastModels.toPersistentMap())
            val first = plan(state, engines, NOW_MS)
            val second = plan(first.state, engines, NOW_MS + SHORTAGE_MS)
            val staged = (first.orders + second.orders).mapNotNull { (it.command as? EngineCommand.Stage)?.model }
            expectThat(staged.groupingBy { it }.eachCount()).isEqualTo(case.stages)
        }
    }

    @Test
    fun `weights are not replaced for a shortage of a moment, nor before the first request`() {
        val engines = engines(cases.first())
        for (trafficStarted in listOf(false, true)) {
            val step = plan(PlannerState(), engines, NOW_MS, trafficStarted)
            expectThat(step.orders.filter { it.command is EngineCommand.Stage }).isEmpty()
        }
    }

    @Test
    fun `a shortage that has ended is forgotten although no load is allowed`() {
        val complete = Case("complete", mapOf("a" to domain(4, 2, new = 1), "b" to domain(4, 2)), emptyMap())
        val shortage = ModelInDomain("s", "large", "b")
        val state = PlannerState(
            shortageSinceMs = persistentMapOf(shortage to NOW_MS - SHORTAGE_MS),
            loadStartsMs = List(LOADS_ABOVE_LIMIT) { NOW_MS - 1 }.toPersistentList(),
        )
        expectThat(shortage in plan(state, engines(complete), NOW_MS).state.shortageSinceMs).isFalse()
    }

    @Test
    fun `an engine that loads the weights of another model joins no group while others can`() {
        val engines = (1..5).map { readyEngine("e$it", it, listOf("large")) }
        val loading = engines.first().incarnation
        val state = PlannerState(
            knownOrders = engines.associate {
                it.incarnation to KnownOrders(0, 0, groupMismatch = false)
            }.toPersistentMap(),
            lastModel = persistentMapOf(loading to "large"),
            sentMs = persistentMapOf(SentOrder(loading, EngineCommand.Stage("small")) to NOW_MS - 1_000),
        )
        val formed = plan(state, engines, NOW_MS).state.groups.values.single { it.phase == GroupPhase.FORMING }
        expectThat(formed.members.contains(loading)).isFalse()
    }

    private fun plan(
        state: PlannerState,
        engines: List<Announcement>,
        nowMs: Long,
        trafficStarted: Boolean = true,
    ): PlanStep {
        val known = engines.associate { it.id to KnownBackend(it, nowMs) }
        val firstSeen = engines.associate { it.id to nowMs - STARTUP_MS }.toPersistentMap()
        val seen = if (state.firstSeenMs.isEmpty()) state.copy(firstSeenMs = firstSeen) else state
        return planGroups(seen, PlannerInput(nowMs, 1, DOCUMENT, known, emptyMap(), trafficStarted))
    }

    private companion object {
        const val ENGINES_OF_THREE_GROUPS_EACH = 18

        /** One group more or less of the smaller number of groups that the domains hold. */
        const val MAX_WORK_RATIO = 2.0
        const val NOW_MS = 100_000L
        const val SHORTAGE_MS = 3_000L
        const val LOADS_ABOVE_LIMIT = 100
        const val STARTUP_MS = 10_000L
    }
}
