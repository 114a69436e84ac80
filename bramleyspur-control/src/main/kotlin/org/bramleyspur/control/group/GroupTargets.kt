/*
 * How many groups of each model a service should have, and where: decided from the models' expected shares of the work
 * and the engines of each fabric domain. A domain keeps spares with staged weights beside its groups, so that a lost
 * member is replaced at once instead of after a load from the weight store.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.document.ModelShape

/** Wanted groups of each model, by domain and model name. */
typealias DomainTargets = Map<String, Map<String, Int>>

/** Wanted groups of the model in the domain. */
internal fun DomainTargets.groups(domain: String, model: ModelShape): Int = this[domain]?.get(model.name) ?: 0

/** Spares that a domain with groups of the model keeps for them: a larger group loses members more often. */
fun sparesOf(model: ModelShape): Int = (model.size + MEMBERS_PER_SPARE - 1) / MEMBERS_PER_SPARE

/** A group of four engines and its spare, with a group of two and its spare, fill a domain of eight. */
private const val MEMBERS_PER_SPARE = 4

/**
 * Wanted groups for [engines], the number of usable engines of each domain. A group lies within one domain. Models get
 * groups in turn by their share of the work for each engine, every model one before any gets a second. Spares are
 * counted first; what is left over is filled with groups that have none. Where a model would get no group, there are no
 * spares.
 */
fun wantedGroups(engines: Map<String, Int>, models: List<ModelShape>): DomainTargets {
    val targets = fillDomains(engines, models, spares = listOf(true, false))
    val without = models.any { model -> targets.values.none { model.name in it } }
    return if (without) fillDomains(engines, models, spares = listOf(false)) else targets
}

/** Fills the domains in one turn for each of [spares], which says whether groups get spares in that turn. */
private fun fillDomains(engines: Map<String, Int>, models: List<ModelShape>, spares: List<Boolean>): DomainTargets {
    val free = engines.toMutableMap()
    val counts = models.associate { it.name to 0 }.toMutableMap()
    val wanted = engines.keys.associateWith { HashMap<String, Int>() }
    for (withSpares in spares) {
        while (true) {
            val order = models.sortedWith(
                compareBy({ if (counts.getValue(it.name) == 0) 0 else 1 }, { -need(it, counts.getValue(it.name)) }),
            )
            val (model, place) = order.firstNotNullOfOrNull { model ->
                domainFor(free, wanted, model, withSpares)?.let { model to it }
            } ?: break
            free[place.domain] = free.getValue(place.domain) - place.engines
            counts[model.name] = counts.getValue(model.name) + 1
            wanted.getValue(place.domain).merge(model.name, 1, Int::plus)
        }
    }
    return wanted
}

/** Work that one more group of the model would carry. */
private fun need(model: ModelShape, groups: Int) = model.workShare / (model.size * (groups + 1))

/** Engines of a domain for one more group. */
private class Place(val domain: String, val engines: Int)

/** The domain with room and the fewest groups of the model, so that one dark domain takes few of them. */
private fun domainFor(free: Map<String, Int>, wanted: DomainTargets, model: ModelShape, withSpares: Boolean): Place? =
    free.entries
        .map { (domain, left) ->
            val spares = if (withSpares && model.name !in wanted.getValue(domain)) sparesOf(model) else 0
            Place(domain, model.size + spares) to left
        }
        .filter { (place, left) -> left >= place.engines }
        .minWithOrNull(
            compareBy(
                { (place, _) -> wanted.groups(place.domain, model) },
                { (_, left) -> -left },
                { (place, _) -> place.domain },
            ),
        )?.first
