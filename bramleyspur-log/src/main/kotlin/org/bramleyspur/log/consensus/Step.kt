/*
 * Events of the consensus state machine, the effects that they cause, and the entry point [step]. The state machine is
 * deterministic and does no I/O: times and random election timeouts are passed in with the events.
 */
package org.bramleyspur.log.consensus

/** An event at [nowMs], a monotonic time in milliseconds. */
internal sealed interface Event {
    val nowMs: Long
}

/** A periodic tick. [electionTimeoutMs] is a new random timeout, used when an election starts. */
internal data class Tick(override val nowMs: Long, val electionTimeoutMs: Long) : Event

internal data class Received(override val nowMs: Long, val envelope: Envelope) : Event

/** Every [Persist] up to [sequence] has been synced. */
internal data class Persisted(override val nowMs: Long, val sequence: Long) : Event

/** Proposes payloads for the log. */
internal class Propose(override val nowMs: Long, val payloads: List<ByteArray>) : Event

/** Requests a change of the membership. */
internal data class ChangeMembership(override val nowMs: Long, val change: MembershipChange) : Event

/** A local snapshot of the state machine has been synced. */
internal class SnapshotSaved(override val nowMs: Long, val snapshot: Snapshot) : Event

/** An action that the caller of [step] executes, in the order of [Step.effects]. */
internal sealed interface Effect

/** Writes and syncs in this order: hard state, snapshot, truncation, entries. */
internal class Persist(
    val sequence: Long,
    val hardState: HardState? = null,
    val snapshot: Snapshot? = null,
    val resetLog: Boolean = false,
    val truncateFrom: Long? = null,
    val entries: List<Entry> = emptyList(),
) : Effect

/** Sends a message to a member. */
internal data class Send(val to: String, val address: String, val message: Message) : Effect

/** Applies committed entries to the state machine. */
internal class Apply(val entries: List<Entry>) : Effect

/** Replaces the state of the state machine with a snapshot. */
internal class Restore(val snapshot: Snapshot) : Effect

/** The proposal was appended; its entries begin at [firstIndex] in [term]. */
internal data class Accepted(val firstIndex: Long, val term: Long) : Effect

/** The proposal or membership change was refused and nothing was appended. */
internal data class Refused(val error: ProposeError) : Effect

/** This member has won the election of [term]. */
internal data class LeadershipWon(val term: Long) : Effect

/** The first entry of the leader's [term] is committed and applied, and with it all entries of earlier terms. */
internal data class LeadershipReady(val term: Long) : Effect

/** This member is no longer the leader of [term]. */
internal data class LeadershipLost(val term: Long) : Effect

/** The state after an event, and the effects in the order of execution. */
internal class Step(val state: ConsensusState, val effects: List<Effect>)

/** Applies [event] to [state]. */
internal fun step(state: ConsensusState, event: Event): Step {
    val transition = Transition(state, event.nowMs)
    when (event) {
        is Tick -> transition.tick(event.electionTimeoutMs)
        is Received -> transition.receive(event.envelope)
        is Persisted -> transition.persisted(event.sequence)
        is Propose -> transition.propose(event.payloads)
        is ChangeMembership -> transition.changeMembership(event.change)
        is SnapshotSaved -> transition.snapshotSaved(event.snapshot)
    }
    return Step(transition.state, transition.effects)
}
