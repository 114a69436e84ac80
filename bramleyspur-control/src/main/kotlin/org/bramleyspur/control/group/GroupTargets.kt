/*
 * How many groups of each model a service should have, and where: decided from the models' expected shares of the work
 * and the engines of each fabric domain. Some engines stay out of groups, with staged weights, so that a lost member is
 * replaced within seconds instead of after a load from the weight store.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.document.ModelShape

/** Part of the engines that stays out of groups. With half as many, large groups wait for members after losses. */
const val SPARE_SHARE = 0.2

/** Wanted groups of each model, by domain and model name. */
typealias DomainTargets = Map<String, Map<String, Int>>

/**
 * Wanted groups for [engines], the number of usable engines of each domain. A group lies within one domain. Models get
 * groups in turn by their share of the work for each engine, every model one before any gets a second.
 */
fun wantedGroups(engines: Map<String, Int>, models: List<ModelShape>, spareShare: Double = SPARE_SHARE): DomainTargets {
    val free = engines.toMutableMap()
    val counts = models.associate { it.name to 0 }.toMutableMap()
    val wanted = engines.keys.associateWith { HashMap<String, Int>() }
    val keepFree = (engines.values.sum() * spareShare).toInt()
    while (true) {
        val order = models.sortedWith(
            compareBy({ if (counts.getValue(it.name) == 0) 0 else 1 }, { -need(it, counts.getValue(it.name)) }),
        )
        val next = order.firstNotNullOfOrNull { model ->
            val first = counts.getValue(model.name) == 0
            val enough = first || free.values.sum() - model.size >= keepFree
            domainFor(free, wanted, model)?.takeIf { enough }?.let { model to it }
        } ?: return wanted
        val (model, domain) = next
        free[domain] = free.getValue(domain) - model.size
        counts[model.name] = counts.getValue(model.name) + 1
        wanted.getValue(domain).merge(model.name, 1, Int::plus)
    }
}

/** Work that one more group of the model would carry. */
private fun need(model: ModelShape, groups: Int) = model.workShare / (model.size * (groups + 1))

/** The domain with room and the fewest groups of the model, so that one dark domain takes few of them. */
private fun domainFor(free: Map<String, Int>, wanted: DomainTargets, model: ModelShape): String? = free.entries
    .filter { it.value >= model.size }
    .minWithOrNull(
        compareBy({ wanted.getValue(it.key)[model.name] ?: 0 }, { -it.value }, { it.key }),
    )?.key
