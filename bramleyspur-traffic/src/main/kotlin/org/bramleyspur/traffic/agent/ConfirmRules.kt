/*
 * Rules of confirmations between the members of a replica. A member that must leave goes on confirming, marked as
 * leaving, so that running requests finish; the first member then refuses new work and stops asking when none runs.
 */
package org.bramleyspur.traffic.agent

import kotlinx.collections.immutable.toPersistentMap

internal fun AgentState.answerConfirm(event: AgentEvent.ConfirmAsked, nowMs: Long): AgentStep {
    val active = phase as? Phase.Active
    val reason = refusalOf(event, active, nowMs)
    if (reason != null) return step(AgentEffect.ReplyConfirm(event.question, ConfirmAnswer(false, reason = reason)))
    val untilMs = nowMs + AgentTiming.lengthened(event.grantMs)
    val leavingNow = leaving || active?.endCause != null
    return copy(grantedUntilMs = maxOf(grantedUntilMs, untilMs))
        .step(AgentEffect.ReplyConfirm(event.question, ConfirmAnswer(true, leavingNow)))
}

private fun AgentState.refusalOf(event: AgentEvent.ConfirmAsked, active: Phase.Active?, nowMs: Long): String? {
    val held = active?.assignment
    return when {
        held == null -> "no assignment"
        held.replica != event.replica || held.fencingNumber != event.fencingNumber -> "another assignment"
        held.first.instance == self -> "this instance is the first member"
        !selfReady(active, nowMs) -> "the engine is not in its role"
        nowMs > drainEndMs(active) -> "the time to drain has passed"
        else -> null
    }
}

private fun AgentState.drainEndMs(active: Phase.Active): Long =
    active.endSinceMs?.let { it + timing.drainLimitMs } ?: Long.MAX_VALUE

internal fun AgentState.learnConfirm(event: AgentEvent.ConfirmAnswered): AgentState {
    val active = phase as? Phase.Active ?: return this
    val known = active.confirmations
    val sentAtMs = known.rounds[event.sequence] ?: return this
    val grant = known.grants[event.member]
    if (grant != null && sentAtMs < grant.sentAtMs) return this
    val grants = if (event.answer.confirmed) {
        known.grants.put(event.member, Grant(sentAtMs, sentAtMs + timing.grantMsFor(active.assignment.members.size)))
    } else {
        known.grants.remove(event.member)
    }
    val memberLeaving = active.memberLeaving || event.answer.leaving
    return copy(phase = active.copy(confirmations = known.copy(grants = grants), memberLeaving = memberLeaving))
}

internal fun AgentState.askMembers(nowMs: Long): AgentStep {
    val active = phase as? Phase.Active ?: return step()
    val assignment = active.assignment
    val others = assignment.members.filter { it.instance != self }
    val due = (active.confirmations.askedAtMs ?: Long.MIN_VALUE) <= nowMs - timing.askMsFor(assignment.members.size)
    val asks = assignment.first.instance == self && due && others.isNotEmpty() && selfReady(active, nowMs)
    if (!asks) return step()
    val round = sequence + 1
    val grantMs = timing.grantMsFor(assignment.members.size)
    val rounds = active.confirmations.rounds
        .filterValues { it + grantMs > nowMs }
        .toPersistentMap()
    val asked = active.confirmations.copy(rounds = rounds.put(round, nowMs), askedAtMs = nowMs)
    val questions = others.map {
        AgentEffect.AskConfirm(it, round, assignment.replica, assignment.fencingNumber, grantMs)
    }
    return AgentStep(copy(sequence = round, phase = active.copy(confirmations = asked)), questions)
}
