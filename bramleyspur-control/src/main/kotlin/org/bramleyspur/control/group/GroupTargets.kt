/*
 * Target number of groups of each model in each fabric domain, computed from the models' expected shares of the work
 * and the engines of each domain. A domain has spares with staged weights in addition to its groups, so that a lost
 * member is replaced at once instead of after a load from the weight store.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.document.ModelSpec

/** Wanted number of groups, by domain and model name. */
typealias DomainTargets = Map<String, Map<String, Int>>

/** Wanted number of groups of the model in the domain. */
internal fun DomainTargets.groups(domain: String, model: ModelSpec): Int = this[domain]?.get(model.name) ?: 0

/**
 * Number of spares in the domain that hold the weights of the model. Every model with groups there has one, since a
 * lost member without a spare costs its group a load from the weight store. Each further spare goes to the model that
 * the next loss of a member costs most: one with many members there, each with a large part of all the work.
 */
internal fun DomainTargets.spares(domain: String, model: ModelSpec, models: List<ModelSpec>): Int {
    val inDomain = models.filter { groups(domain, it) > 0 }
    val spares = inDomain.associateWith { 0 }.toMutableMap()
    repeat(inDomain.sumOf { sparesOf(it) }) {
        val uncovered = inDomain.filter { spares.getValue(it) == 0 }
        val next = uncovered.ifEmpty { inDomain }.maxBy { costOfLosses(domain, it) / (1 + spares.getValue(it)) }
        spares.merge(next, 1, Int::plus)
    }
    return spares[model] ?: 0
}

/** The members of the model in the domain, which may be lost, times the part of the work that a group carries. */
internal fun DomainTargets.costOfLosses(domain: String, model: ModelSpec): Double =
    groups(domain, model) * model.groupSize * model.workShare / keys.sumOf { groups(it, model) }

/** Number of spares that a domain has for the groups of the model; larger groups lose members more often. */
fun sparesOf(model: ModelSpec): Int = (model.groupSize + MEMBERS_PER_SPARE - 1) / MEMBERS_PER_SPARE

private const val MEMBERS_PER_SPARE = 4

/** Number of spares of a domain, given the models that have groups in it. */
private typealias SpareRule = (models: Set<ModelSpec>) -> Int

/**
 * The models of a domain share its spares: losses that hit groups of two models at once are rare, and engines that wait
 * for them serve no requests.
 */
private val allSpares: SpareRule = { models -> models.maxOf { sparesOf(it) } }
private val oneSpare: SpareRule = { 1 }
private val noSpares: SpareRule = { 0 }

/**
 * The usable engines of a fabric domain.
 *
 * @property byModel number of engines that are in groups of a model or have its weights staged, by model name
 */
data class DomainEngines(val count: Int, val byModel: Map<String, Int> = emptyMap())

/**
 * Wanted groups for the [engines] of each domain. A group lies within one domain. Models get groups in order of their
 * share of the work per engine; every model gets one group before any gets a second. While the shares of the work per
 * engine are out of balance, spares are given up for groups of the model that lacks them, since groups of another model
 * cannot take over its work. Among domains with equally many groups of a model, those that hold most of its engines are
 * preferred, so that a loss moves few groups to other domains.
 */
fun wantedGroups(engines: Map<String, DomainEngines>, models: List<ModelSpec>): DomainTargets {
    var targets = GroupTargets(engines, models, models.associateWith { 0 })
    while (true) {
        targets = targets.byNeed().take(1).firstNotNullOfOrNull { targets.withGroupOf(it, allSpares) } ?: break
    }
    for (spares in listOf(oneSpare, noSpares)) {
        while (true) {
            targets = targets.starvedModels().firstNotNullOfOrNull { targets.withGroupOf(it, spares) } ?: break
        }
    }
    while (true) {
        targets = targets.modelsToExtend().firstNotNullOfOrNull { targets.withGroupOf(it, allSpares) } ?: break
    }
    return targets.byDomain
}

/** Numbers of groups by model, and their placement in domains. */
private class GroupTargets(
    private val engines: Map<String, DomainEngines>,
    private val models: List<ModelSpec>,
    private val counts: Map<ModelSpec, Int>,
    val byDomain: DomainTargets = engines.mapValues { emptyMap() },
) {
    private fun workPerEngine(model: ModelSpec, groups: Int): Double =
        if (groups == 0) Double.MAX_VALUE else model.workShare / (model.groupSize * groups)

    private fun workPerEngine(model: ModelSpec) = workPerEngine(model, counts.getValue(model))

    /** The models, the one with the most work per engine first. */
    fun byNeed(): List<ModelSpec> = models.sortedWith(
        compareBy(
            { if (counts.getValue(it) == 0) 0 else 1 },
            { -workPerEngine(it, counts.getValue(it) + 1) },
        ),
    )

    /** Models that have not much less work per engine than another model with groups; the neediest first. */
    fun modelsToExtend(): List<ModelSpec> {
        val most = models.filter { counts.getValue(it) > 0 }.maxOfOrNull { workPerEngine(it) } ?: 0.0
        return byNeed().filter { workPerEngine(it) * MAX_IMBALANCE >= most }
    }

    /** Models without a group, or with much more work per engine than another model; the neediest first. */
    fun starvedModels(): List<ModelSpec> {
        val least = models.minOf { workPerEngine(it) }
        return byNeed().filter { counts.getValue(it) == 0 || workPerEngine(it) > least * MAX_IMBALANCE }
    }

    /** These targets with one more group of [model]; null if the domains have no room for it beside their spares. */
    fun withGroupOf(model: ModelSpec, spares: SpareRule): GroupTargets? {
        val next = counts + (model to counts.getValue(model) + 1)
        return place(next, spares)?.let { GroupTargets(engines, models, next, it) }
    }

    /** Places the largest groups first, in the domain with the fewest groups of their model and most of its engines. */
    private fun place(counts: Map<ModelSpec, Int>, spares: SpareRule): DomainTargets? {
        val placed = engines.mapValues { HashMap<ModelSpec, Int>() }
        fun room(domain: String, model: ModelSpec): Int {
            val groups = placed.getValue(domain)
            val occupied = groups.entries.sumOf { (other, count) -> other.groupSize * count }
            return engines.getValue(domain).count - occupied - spares(groups.keys + model)
        }
        for ((model, count) in counts.entries.sortedByDescending { it.key.groupSize }) {
            repeat(count) {
                val domain = engines.keys.filter { room(it, model) >= model.groupSize }
                    .minWithOrNull(
                        compareBy(
                            { placed.getValue(it)[model] ?: 0 },
                            { -(engines.getValue(it).byModel[model.name] ?: 0) },
                            { -room(it, model) },
                            { it },
                        ),
                    ) ?: return null
                placed.getValue(domain).merge(model, 1, Int::plus)
            }
        }
        return placed.mapValues { (_, groups) -> groups.mapKeys { it.key.name } }
    }

    private companion object {
        /** Ratio between the work per engine of two models up to which a missing group does not starve a model. */
        const val MAX_IMBALANCE = 1.25
    }
}
