/*
 * Separates the engines of evacuated data centres, which get no requests, from all others. Groups are formed among each
 * of the two on their own: the rest forms the groups that it can hold, and the evacuated engines keep and form theirs
 * as preparation for their return. Without an evacuation there is one part.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.backend.Announcement

/** Engines among which groups are formed. */
internal enum class EnginePart { OPEN, EVACUATED }

/** Part of the data centre of the engine. */
internal fun Planning.partOf(engine: Announcement): EnginePart =
    if (engine.dataCentre in input.evacuated) EnginePart.EVACUATED else EnginePart.OPEN

internal fun Planning.isInPart(engine: Announcement): Boolean = partOf(engine) == part

/** A group with members in both parts counts in the open one, where it is replaced. */
internal fun Planning.isInPart(group: PlannedGroup): Boolean {
    if (input.evacuated.isEmpty()) return true
    val members = group.members.mapNotNull { announcement(it.id) }
    val evacuated = members.isNotEmpty() && members.all { partOf(it) == EnginePart.EVACUATED }
    return evacuated == (part == EnginePart.EVACUATED)
}

/** Whether the head of the group gets no requests although other members are in an open data centre. */
internal fun Planning.isCutOff(group: PlannedGroup): Boolean =
    part == EnginePart.OPEN && announcement(group.members.first().id)?.let { !isInPart(it) } == true

/** Fabric domain of the engine, with engines of evacuated data centres in domains of their own. */
internal fun Planning.domainOf(engine: Announcement): String = when (partOf(engine)) {
    EnginePart.OPEN -> engine.fabricDomain
    EnginePart.EVACUATED -> engine.fabricDomain + EVACUATED_SUFFIX
}

/** The targets of the domains of [part]. */
internal fun DomainTargets.ofPart(part: EnginePart): DomainTargets = filterKeys { isOfPart(it, part) }

/** Whether [domain], as [domainOf] names it, belongs to [part]. */
internal fun isOfPart(domain: String, part: EnginePart): Boolean =
    domain.endsWith(EVACUATED_SUFFIX) == (part == EnginePart.EVACUATED)

/** Wanted groups for the [engines] of each domain, computed for the two parts on their own. */
internal fun wantedByPart(
    engines: Map<String, DomainEngines>,
    wanted: (engines: Map<String, DomainEngines>) -> DomainTargets,
): DomainTargets {
    val (evacuated, open) = engines.entries.partition { isOfPart(it.key, EnginePart.EVACUATED) }
    return listOf(open, evacuated).filter { it.isNotEmpty() }
        .map { domains -> wanted(domains.associate { it.toPair() }) }
        .fold(emptyMap()) { all, targets -> all + targets }
}

/** Announcements name no domain with control characters, so it separates the domains of the parts. */
private const val EVACUATED_SUFFIX = "\u0000evacuated"
