/*
 * Rules of confirmations between the members of a replica. A member that must leave continues to confirm, marked as
 * leaving, so that running requests finish; the first member then refuses new work, and stops requesting
 * confirmations once no request runs.
 */
package org.bramleyspur.traffic.agent

import kotlinx.collections.immutable.toPersistentMap

internal fun AgentState.respondToConfirmation(event: AgentEvent.ConfirmationRequested, nowMs: Long): AgentStep {
    val active = phase as? Phase.Active
    val reason = refusalOf(event, active, nowMs)
    if (reason != null) {
        return step(AgentEffect.SendConfirmation(event.requestNumber, ConfirmationResponse(false, reason = reason)))
    }
    val untilMs = nowMs + AgentTiming.lengthened(event.grantMs)
    val isLeaving = leaving || active?.endCause != null
    return copy(grantedUntilMs = maxOf(grantedUntilMs, untilMs))
        .step(AgentEffect.SendConfirmation(event.requestNumber, ConfirmationResponse(true, isLeaving)))
}

private fun AgentState.refusalOf(event: AgentEvent.ConfirmationRequested, active: Phase.Active?, nowMs: Long): String? {
    val assignment = active?.assignment
    return when {
        assignment == null -> "no assignment"
        assignment.replica != event.replica || assignment.fencingNumber != event.fencingNumber -> "another assignment"
        assignment.firstMember.instance == self -> "this instance is the first member"
        !engineReady(active, nowMs) -> "the engine is not in its role"
        nowMs > drainEndMs(active) -> "the time to drain has passed"
        else -> null
    }
}

private fun AgentState.drainEndMs(active: Phase.Active): Long =
    active.endingSinceMs?.let { it + timing.drainLimitMs } ?: Long.MAX_VALUE

internal fun AgentState.applyConfirmation(event: AgentEvent.ConfirmationReceived): AgentState {
    val active = phase as? Phase.Active ?: return this
    val current = active.confirmations
    val sentAtMs = current.rounds[event.sequence] ?: return this
    val grant = current.grants[event.member]
    if (grant != null && sentAtMs < grant.sentAtMs) return this
    val grants = if (event.response.confirmed) {
        current.grants.put(event.member, Grant(sentAtMs, sentAtMs + timing.grantMsFor(active.assignment.members.size)))
    } else {
        current.grants.remove(event.member)
    }
    val memberLeaving = active.memberLeaving || event.response.leaving
    return copy(phase = active.copy(confirmations = current.copy(grants = grants), memberLeaving = memberLeaving))
}

internal fun AgentState.requestConfirmations(nowMs: Long): AgentStep {
    val active = phase as? Phase.Active ?: return step()
    val assignment = active.assignment
    val others = assignment.members.filter { it.instance != self }
    val due =
        (active.confirmations.lastRoundAtMs ?: Long.MIN_VALUE) <=
            nowMs - timing.confirmIntervalMsFor(assignment.members.size)
    val mustRequest =
        assignment.firstMember.instance == self && due && others.isNotEmpty() && engineReady(active, nowMs)
    if (!mustRequest) return step()
    val round = sequence + 1
    val grantMs = timing.grantMsFor(assignment.members.size)
    val rounds = active.confirmations.rounds
        .filterValues { it + grantMs > nowMs }
        .toPersistentMap()
    val confirmations = active.confirmations.copy(rounds = rounds.put(round, nowMs), lastRoundAtMs = nowMs)
    val requests = others.map {
        AgentEffect.RequestConfirmation(it, round, assignment.replica, assignment.fencingNumber, grantMs)
    }
    return AgentStep(copy(sequence = round, phase = active.copy(confirmations = confirmations)), requests)
}
