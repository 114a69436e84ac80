/*
 * Changes of the assignments. The checks reject assignments of an instance to two replicas, and decisions of the leader
 * that are outdated by a committed change of the configuration.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.ServiceKind

/** Creates all assignments of the command, or none. */
internal fun ControlState.assign(index: Long, command: Assign): Applied {
    val problem = assignmentProblem(command.assignments)
    if (problem != null) return Applied(this, AssignResult.Refused(problem))
    val fencingNumber = FencingNumber(index)
    val created = command.assignments.associate { it.replica to it.toAssignment(fencingNumber) }
    return Applied(copy(assignments = assignments.putAll(created)), AssignResult.Assigned(fencingNumber))
}

/** Ends an assignment if it has the given fencing number. */
internal fun ControlState.endAssignment(command: EndAssignment): Applied {
    val matches = assignments[command.replica]?.fencingNumber == command.fencingNumber
    val remaining = if (matches) assignments.remove(command.replica) else assignments
    return Applied(copy(assignments = remaining), AssignmentEnded(matches))
}

private fun AssignmentDefinition.toAssignment(fencingNumber: FencingNumber) =
    Assignment(replica, fencingNumber, service, model, version, adapters, members)

private fun ControlState.assignmentProblem(definitions: List<AssignmentDefinition>): String? {
    val replicas = definitions.map { it.replica }
    val repeated = replicas.firstOrNull { it in assignments } ?: firstRepeated(replicas)
    return when {
        definitions.isEmpty() -> "the command holds no assignment"
        repeated != null -> "the replica $repeated is already assigned; end its assignment first"
        else -> definitions.firstNotNullOfOrNull { definitionProblem(it) } ?: instanceProblem(definitions)
    }
}

private fun ControlState.definitionProblem(definition: AssignmentDefinition): String? {
    val service = configuration.services[definition.service]
    return when {
        service == null -> "the service ${definition.service} does not exist"
        service.kind != ServiceKind.MODEL -> "the service ${service.name} is plain and has no replicas"
        definition.model != service.model || definition.adapters != service.adapters ->
            "model or adapters of the service ${service.name} have changed; decide again"
        definition.version != service.version && definition.version != service.nextVersion ->
            "the service ${service.name} has no version ${definition.version} any more; decide again"
        definition.members.size != service.instancesPerReplica ->
            "a replica of the service ${service.name} has ${service.instancesPerReplica} instances, " +
                "not ${definition.members.size}"
        else -> null
    }
}

private fun ControlState.instanceProblem(definitions: List<AssignmentDefinition>): String? {
    val instances = definitions.flatMap { definition -> definition.members.map { it.instance } }
    val used = assignments.values.flatMap { assignment -> assignment.members.map { it.instance } }.toSet()
    val assigned = instances.firstOrNull { it in used } ?: firstRepeated(instances)
    val drained = instances.firstOrNull { it in configuration.drainedInstances }
    return when {
        assigned != null -> "the instance $assigned is in another replica; end that assignment first"
        drained != null -> "the instance $drained is drained; return it first"
        else -> null
    }
}

private fun <T> firstRepeated(items: List<T>): T? {
    val seen = mutableSetOf<T>()
    return items.firstOrNull { !seen.add(it) }
}
