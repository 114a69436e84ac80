/*
 * Membership changes at the leader. A change takes effect when it is appended; the next one is refused until it is
 * committed.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.toPersistentMap

internal fun Transition.changeMembership(change: MembershipChange) {
    val leaderState = state.role as? LeaderState
    val error = when {
        leaderState == null -> ProposeError.NotLeader(state.leader)
        !leaderState.ready || state.memberships.last().index > state.commitIndex -> ProposeError.ChangeInProgress
        else -> validationError(leaderState, change)?.let { ProposeError.InvalidChange(it) }
    }
    if (error != null) {
        effects += Refused(error)
    } else {
        appendMembership(state.membership.with(change))
    }
}

private fun Transition.validationError(leaderState: LeaderState, change: MembershipChange): String? = when (change) {
    is MembershipChange.AddLearner -> additionError(change)

    is MembershipChange.Promote -> when {
        change.id !in state.membership.learners -> "${change.id} is no learner; add it first"
        state.membership.voters.size >= MAX_VOTERS -> "there are $MAX_VOTERS voters; remove one first"
        !isCaughtUp(leaderState, change.id) -> "${change.id} has not caught up; promote it when its lag is small"
        else -> null
    }

    is MembershipChange.Remove -> when {
        change.id !in state.membership.ids() -> "${change.id} is no member; look at the member list"
        state.membership.voters.keys == setOf(change.id) -> "${change.id} is the last voter; promote another one first"
        else -> null
    }
}

private fun Transition.additionError(change: MembershipChange.AddLearner): String? = when {
    change.id in state.membership.ids() -> "${change.id} is a member already; choose another id"

    listOfNotNull(change.id, change.address, change.replaces).any { it.isEmpty() || it.any(Char::isWhitespace) } ->
        "ids and addresses must not be empty or contain white space; correct the command"

    change.replaces != null && change.replaces !in state.membership.ids() ->
        "${change.replaces} is no member; name the member to replace"

    else -> null
}

private fun Transition.isCaughtUp(leaderState: LeaderState, id: String): Boolean {
    val progress = leaderState.progress[id] ?: return false
    return isResponsive(leaderState, id) &&
        state.log.lastIndex - progress.matchIndex <= state.settings.caughtUpLagEntries
}

/** Whether [id] is the leader itself or acknowledged a round within the minimum election timeout. */
private fun Transition.isResponsive(leaderState: LeaderState, id: String): Boolean {
    val ackedMs = if (id == state.self) nowMs else leaderState.progress[id]?.ackedRoundMs
    return ackedMs != null && nowMs - ackedMs < state.settings.minElectionTimeoutMs
}

private fun Membership.with(change: MembershipChange): Membership = when (change) {
    is MembershipChange.AddLearner -> copy(
        learners = learners.put(change.id, change.address),
        replacements = change.replaces?.let { replacements.put(change.id, it) } ?: replacements,
    )

    is MembershipChange.Promote -> copy(
        voters = voters.put(change.id, learners.getValue(change.id)),
        learners = learners.remove(change.id),
        replacements = replacements.filter { it.key != change.id || it.value in ids() }.toPersistentMap(),
    )

    is MembershipChange.Remove -> copy(
        voters = voters.remove(change.id),
        learners = learners.remove(change.id),
        replacements = replacements.filter { change.id != it.key && (change.id != it.value || it.key in learners) }
            .toPersistentMap(),
    )
}

private fun Transition.appendMembership(membership: Membership) {
    val next = state.log.lastIndex + 1
    updateLeaderState { leaderState ->
        val peers = membership.ids().minus(state.self)
        val progress = peers.associateWith { leaderState.progress[it] ?: Progress(matchIndex = 0, nextIndex = next) }
        leaderState.copy(progress = progress.toPersistentMap())
    }
    appendAsLeader(EntryKind.MEMBERSHIP, listOf(membership.encode()))
}

/**
 * Performs the next step of a replacement once the new member has caught up. A responsive member is removed after the
 * new one is promoted. An unresponsive one is removed first: otherwise a failure of the new member right after its
 * promotion would leave two failed voters out of four, and no majority.
 */
internal fun Transition.continueReplacement() {
    val leaderState = state.role as? LeaderState ?: return
    if (!leaderState.ready || state.memberships.last().index > state.commitIndex) return
    val change = state.membership.replacements.entries.firstNotNullOfOrNull { (id, replaced) ->
        val replacedIsMember = replaced in state.membership.ids()
        when {
            id in state.membership.voters -> MembershipChange.Remove(replaced)
            !isCaughtUp(leaderState, id) -> null
            replacedIsMember && !isResponsive(leaderState, replaced) -> MembershipChange.Remove(replaced)
            state.membership.voters.size < MAX_VOTERS -> MembershipChange.Promote(id)
            else -> null
        }
    } ?: return
    appendMembership(state.membership.with(change))
}
