/*
 * Tells why a domain lacks a group that is wanted there, for the log: by the engines that the domain has for it.
 */
package org.bramleyspur.control.group

import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.ModelSpec

/** What a missing group waits for. */
enum class GapCause {
    /** Its engines join it, or are about to leave their last group. */
    FORMING,

    /** Enough engines of the domain have the weights, but some of them are in groups across domains. */
    ACROSS_DOMAINS,

    /** Enough engines of the domain are free or in groups across domains, but some lack the weights. */
    WEIGHTS,

    /** The domain has too few engines that serve no other group within it. */
    ENGINES,
}

/**
 * A model that has fewer serving groups within a domain than wanted.
 *
 * @property joining number of engines of the domain that are or will be free and need no load
 * @property acrossDomains number of its engines in groups of the model across domains
 * @property unprepared number of its free engines that lack the weights
 */
data class GroupGap(
    val place: ModelInDomain,
    val cause: GapCause,
    val joining: Int,
    val acrossDomains: Int,
    val unprepared: Int,
)

/** The gaps between the groups that serve and those [wanted]. */
internal fun Planning.groupGaps(service: DocumentService, wanted: DomainTargets): List<GroupGap> =
    service.models.flatMap { model ->
        val domains = state.groups.values.filter { it.service == service.name && it.model == model.name }
            .associateWith { group -> group.members.mapNotNull { domainOf(it) }.toSet() }
        wanted.keys.filter { wanted.groups(it, model) > 0 }.mapNotNull { domain ->
            val (within, across) = domains.filterValues { domain in it }.entries.partition { it.value.size == 1 }
            val groups = within.map { it.key }
            val isMissing = groups.count { it.phase == GroupPhase.SERVING } < wanted.groups(domain, model)
            if (isMissing) groupGap(service, model, domain, groups, across.map { it.key }) else null
        }
    }

private fun Planning.groupGap(
    service: DocumentService,
    model: ModelSpec,
    domain: String,
    within: List<PlannedGroup>,
    across: List<PlannedGroup>,
): GroupGap {
    val free = freeEngines(service.name).filter { domainOf(it) == domain }
    val (prepared, unprepared) = free.partition { joinTimeMs(it, model) < model.loadMs }
    val freeNow = free.map { it.incarnation }.toSet()
    fun soundMembers(groups: List<PlannedGroup>): Int = groups.flatMap { it.members }
        .count { it !in freeNow && domainOf(it) == domain && !isUnreachable(it, failures = 1) }
    val joining = prepared.size + soundMembers(within.filter { it.phase != GroupPhase.SERVING })
    val acrossDomains = soundMembers(across)
    val cause = when {
        joining >= model.groupSize -> GapCause.FORMING
        joining + acrossDomains >= model.groupSize -> GapCause.ACROSS_DOMAINS
        joining + acrossDomains + unprepared.size >= model.groupSize -> GapCause.WEIGHTS
        else -> GapCause.ENGINES
    }
    return GroupGap(ModelInDomain(service.name, model.name, domain), cause, joining, acrossDomains, unprepared.size)
}

private fun Planning.domainOf(incarnation: EngineIncarnation): String? =
    announcementOf(incarnation)?.let { domainOf(it) }
