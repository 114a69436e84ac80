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

/** Number of spares for the groups of the model in a domain; larger groups lose members more often. */
fun sparesOf(model: ModelSpec): Int = (model.groupSize + MEMBERS_PER_SPARE - 1) / MEMBERS_PER_SPARE

/** With one spare per four members, a group of four and a group of two with their spares fill a domain of eight. */
private const val MEMBERS_PER_SPARE = 4

/**
 * Wanted groups for [engines], the number of usable engines of each domain. A group lies within one domain. Models get
 * groups in order of their share of the work per engine; every model gets one group before any gets a second. Groups
 * with spares are placed first, and the remaining engines form groups without spares. If a model would get no group, no
 * spares are reserved.
 */
fun wantedGroups(engines: Map<String, Int>, models: List<ModelSpec>): DomainTargets {
    val targets = fillDomains(engines, models, spares = listOf(true, false))
    val someModelUnserved = models.any { model -> targets.values.none { model.name in it } }
    return if (someModelUnserved) fillDomains(engines, models, spares = listOf(false)) else targets
}

/** Places groups in one pass per element of [spares], which states whether groups get spares in that pass. */
private fun fillDomains(engines: Map<String, Int>, models: List<ModelSpec>, spares: List<Boolean>): DomainTargets {
    val free = engines.toMutableMap()
    val groupCounts = models.associate { it.name to 0 }.toMutableMap()
    val wanted = engines.keys.associateWith { HashMap<String, Int>() }
    for (withSpares in spares) {
        while (true) {
            val byNeed = models.sortedWith(
                compareBy(
                    { if (groupCounts.getValue(it.name) == 0) 0 else 1 },
                    { -workPerEngineWithOneMore(it, groupCounts.getValue(it.name)) },
                ),
            )
            val (model, allocation) = byNeed.firstNotNullOfOrNull { model ->
                domainFor(free, wanted, model, withSpares)?.let { model to it }
            } ?: break
            free[allocation.domain] = free.getValue(allocation.domain) - allocation.engines
            groupCounts[model.name] = groupCounts.getValue(model.name) + 1
            wanted.getValue(allocation.domain).merge(model.name, 1, Int::plus)
        }
    }
    return wanted
}

/** Work per engine if the model had one more group. */
private fun workPerEngineWithOneMore(model: ModelSpec, groups: Int) = model.workShare / (model.groupSize * (groups + 1))

/** Number of engines that one more group takes from a domain. */
private class DomainAllocation(val domain: String, val engines: Int)

/** The domain with room and the fewest groups of the model, so that the failure of a domain affects few of them. */
private fun domainFor(
    free: Map<String, Int>,
    wanted: DomainTargets,
    model: ModelSpec,
    withSpares: Boolean,
): DomainAllocation? = free.entries
    .map { (domain, freeCount) ->
        val spares = if (withSpares && model.name !in wanted.getValue(domain)) sparesOf(model) else 0
        DomainAllocation(domain, model.groupSize + spares) to freeCount
    }
    .filter { (allocation, freeCount) -> freeCount >= allocation.engines }
    .minWithOrNull(
        compareBy(
            { (allocation, _) -> wanted.groups(allocation.domain, model) },
            { (_, freeCount) -> -freeCount },
            { (allocation, _) -> allocation.domain },
        ),
    )?.first
