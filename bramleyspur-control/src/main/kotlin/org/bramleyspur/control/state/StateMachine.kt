/*
 * The control state machine: a pure function, so that every member that applies the same log has the same state.
 */
package org.bramleyspur.control.state

import org.bramleyspur.core.model.Revision

/**
 * Applies the [command] at the log index [index] to [state].
 *
 * @throws IllegalArgumentException if the index was already applied, which indicates a programming error
 */
fun apply(state: ControlState, index: Long, command: ControlCommand): Applied {
    require(index > state.appliedIndex) { "log index $index is not after the applied index ${state.appliedIndex}" }
    val applied = state.transition(index, command)
    return applied.copy(state = applied.state.copy(appliedIndex = index))
}

private fun ControlState.transition(index: Long, command: ControlCommand): Applied = when (command) {
    is Submit -> submit(index, command)
    is Assign -> assign(index, command)
    is EndAssignment -> endAssignment(command)
    is FinishRollOut -> finishRollOut(index, command)
    is Claim -> withClaims(claims.claim(index, command))
    is Complete -> withClaims(claims.complete(command))
    is ReplaceDocument -> replaceDocument(command.document)
    is EvacuateDataCentre -> evacuate(index, command)
    is ExpireClaims -> withClaims(claims.expire(command.nowMs))
}

private fun ControlState.withClaims(result: Pair<ClaimTable, CommandResult>): Applied =
    Applied(copy(claims = result.first), result.second)

/** Replaces the document only by a higher version; the same version with other content is ignored. */
private fun ControlState.replaceDocument(next: StoredDocument): Applied {
    val current = document
    if (current != null && current.version >= next.version) {
        return Applied(this, DocumentReplaced(replaced = false, current.version))
    }
    return Applied(copy(document = next), DocumentReplaced(replaced = true, next.version))
}

/** Begins or ends an evacuation; a resend finds it begun or ended, and changes nothing. */
private fun ControlState.evacuate(index: Long, command: EvacuateDataCentre): Applied {
    val next = if (command.evacuated) {
        evacuations.start(command.dataCentre, index, command.submittedAtMs)
    } else {
        evacuations.finish(command.dataCentre, index)
    }
    return Applied(copy(evacuations = next), EvacuationChanged(next !== evacuations, next.revision))
}

/** Makes the next version the serving one and records the former one for `roll back`. */
private fun ControlState.finishRollOut(index: Long, command: FinishRollOut): Applied {
    val service = configuration.services[command.service]
    if (service == null || service.nextVersion != command.version) {
        return Applied(this, RollOutFinished(finished = false, configuration.revision))
    }
    val rolledOut = service.copy(version = command.version, nextVersion = null)
    val revision = Revision(index)
    val changed = copy(
        configuration = configuration.copy(
            revision = revision,
            services = configuration.services.put(service.name, rolledOut),
        ),
        previousVersions = previousVersions.put(service.name, service.version),
    )
    return Applied(changed, RollOutFinished(finished = true, revision))
}
