package org.bramleyspur.control.group

import kotlinx.collections.immutable.PersistentMap
import org.bramleyspur.core.backend.GroupId

/** Members of groups that serve, form or warm up, by model and domain; computed once for each version of the groups. */
internal class AssignedMembers {
    private var groups: PersistentMap<GroupId, PlannedGroup>? = null
    private var byModel: Map<Pair<String, String>, Map<String, List<EngineIncarnation>>> = emptyMap()

    /** The members of groups of [model] in [service] among [current], by the domain that [domainOf] tells. */
    fun of(
        current: PersistentMap<GroupId, PlannedGroup>,
        service: String,
        model: String,
        domainOf: (EngineIncarnation) -> String,
    ): Map<String, List<EngineIncarnation>> {
        if (groups !== current) {
            groups = current
            byModel = current.values
                .filter { it.phase in ASSIGNED_PHASES }
                .groupBy({ it.service to it.model }, { it.members })
                .mapValues { (_, members) -> members.flatten().groupBy(domainOf) }
        }
        return byModel[service to model].orEmpty()
    }

    private companion object {
        val ASSIGNED_PHASES = setOf(GroupPhase.WARMING, GroupPhase.FORMING, GroupPhase.SERVING)
    }
}
