/*
 * Changes of the membership at the leader. A change takes effect when it is appended, and the next one has to wait
 * until it is committed.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.toPersistentMap

internal fun Transition.changeMembership(change: MembershipChange) {
    val leading = state.role as? Leading
    val error = when {
        leading == null -> ProposeError.NotLeader(state.leader)
        !leading.ready || state.memberships.last().index > state.commit -> ProposeError.ChangeInProgress
        else -> invalid(leading, change)?.let { ProposeError.InvalidChange(it) }
    }
    if (error != null) {
        effects += Refused(error)
    } else {
        appendMembership(state.membership.with(change))
    }
}

private fun Transition.invalid(leading: Leading, change: MembershipChange): String? = when (change) {
    is MembershipChange.AddLearner -> invalidAddition(change)

    is MembershipChange.Promote -> when {
        change.id !in state.membership.learners -> "${change.id} is no learner; add it first"
        state.membership.voters.size >= MAX_VOTERS -> "there are $MAX_VOTERS voters; remove one first"
        !caughtUp(leading, change.id) -> "${change.id} has not caught up; promote it when its lag is small"
        else -> null
    }

    is MembershipChange.Remove -> when {
        change.id !in state.membership.ids() -> "${change.id} is no member; look at the member list"
        state.membership.voters.keys == setOf(change.id) -> "${change.id} is the last voter; promote another one first"
        else -> null
    }
}

private fun Transition.invalidAddition(change: MembershipChange.AddLearner): String? = when {
    change.id in state.membership.ids() -> "${change.id} is a member already; choose another id"

    listOfNotNull(change.id, change.address, change.replaces).any { it.isEmpty() || it.any(Char::isWhitespace) } ->
        "ids and addresses must not be empty or contain white space; correct the command"

    change.replaces != null && change.replaces !in state.membership.ids() ->
        "${change.replaces} is no member; name the member to replace"

    else -> null
}

private fun Transition.caughtUp(leading: Leading, id: String): Boolean {
    val progress = leading.progress[id] ?: return false
    return answers(leading, id) && state.log.lastIndex - progress.matchIndex <= state.settings.caughtUpEntries
}

/** Whether this is the leader itself, or it acknowledged a round within the last election timeout. */
private fun Transition.answers(leading: Leading, id: String): Boolean {
    val ackedMs = if (id == state.self) nowMs else leading.progress[id]?.ackedRoundMs
    return ackedMs != null && nowMs - ackedMs < state.settings.electionMinMs
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
    updateLeading { leading ->
        val peers = membership.ids().minus(state.self)
        val progress = peers.associateWith { leading.progress[it] ?: Progress(matchIndex = 0, nextIndex = next) }
        leading.copy(progress = progress.toPersistentMap())
    }
    appendAsLeader(EntryKind.MEMBERSHIP, listOf(membership.encode()))
}

/**
 * Takes the next step of a replacement once the new member has caught up. A member that answers is removed after the
 * new one is promoted. One that does not answer is removed before, since the failure of the new member right after its
 * promotion would otherwise leave two failed voters: with four voters that is no majority.
 */
internal fun Transition.continueReplacement() {
    val leading = state.role as? Leading ?: return
    if (!leading.ready || state.memberships.last().index > state.commit) return
    val change = state.membership.replacements.entries.firstNotNullOfOrNull { (id, replaced) ->
        val present = replaced in state.membership.ids()
        when {
            id in state.membership.voters -> MembershipChange.Remove(replaced)
            !caughtUp(leading, id) -> null
            present && !answers(leading, replaced) -> MembershipChange.Remove(replaced)
            state.membership.voters.size < MAX_VOTERS -> MembershipChange.Promote(id)
            else -> null
        }
    } ?: return
    appendMembership(state.membership.with(change))
}
