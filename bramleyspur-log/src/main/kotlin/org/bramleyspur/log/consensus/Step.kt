/*
 * The events that the consensus rules decide on, the effects they order, and the entry point [step]. Nothing here
 * reads a clock, draws a random number or touches a file: time and election timeouts arrive with the events.
 */
package org.bramleyspur.log.consensus

/** Something that happened at [nowMs], a monotonic time in milliseconds. */
internal sealed interface Event {
    val nowMs: Long
}

/** Time has passed. [electionTimeoutMs] is a fresh random timeout, used when an election begins. */
internal data class Tick(override val nowMs: Long, val electionTimeoutMs: Long) : Event

/** A message arrived. */
internal data class Received(override val nowMs: Long, val envelope: Envelope) : Event

/** Every [Persist] up to [sequence] has been synced. */
internal data class Persisted(override val nowMs: Long, val sequence: Long) : Event

/** The state machine proposes payloads. */
internal class Propose(override val nowMs: Long, val payloads: List<ByteArray>) : Event

/** An operator changes the membership. */
internal data class ChangeMembership(override val nowMs: Long, val change: MembershipChange) : Event

/** A snapshot of this member's own state machine has been synced. */
internal class SnapshotSaved(override val nowMs: Long, val snapshot: Snapshot) : Event

/** What the driver does, in the order of the list. */
internal sealed interface Effect

/** Writes and syncs: the hard state first, then the snapshot, then the truncation and the entries. */
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

/** Replaces the state of the state machine. */
internal class Restore(val snapshot: Snapshot) : Effect

/** The proposed entries begin at [firstIndex] in [term]. */
internal data class Accepted(val firstIndex: Long, val term: Long) : Effect

/** The proposal or change was refused and nothing was appended. */
internal data class Refused(val error: ProposeError) : Effect

/** This member has won the election of [term]. */
internal data class LeadershipWon(val term: Long) : Effect

/** The first entry of the leader's [term] is committed and applied, and with it all entries of earlier terms. */
internal data class LeadershipReady(val term: Long) : Effect

/** This member no longer leads. */
internal data class LeadershipLost(val term: Long) : Effect

/** The state after an event and the ordered effects. */
internal class Step(val state: ConsensusState, val effects: List<Effect>)

/** Decides on [event] in [state]. */
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
