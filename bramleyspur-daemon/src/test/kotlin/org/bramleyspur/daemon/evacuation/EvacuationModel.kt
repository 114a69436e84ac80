/*
 * Test support: a small deployment in which operators evacuate data centres. The log is abstract: what is committed is
 * kept, a leader has applied all of it, and other members are behind by any number of entries. The commands, snapshots
 * and the views of the entries are those of the product.
 */
package org.bramleyspur.daemon.evacuation

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.control.state.EvacuateDataCentre
import org.bramleyspur.control.state.apply
import org.bramleyspur.control.state.decodeSnapshot
import org.bramleyspur.control.state.encodeSnapshot
import org.bramleyspur.traffic.evacuation.EvacuationView

/** A member of the log that has applied [applied] entries, and whose snapshot holds the first [snapshot] of them. */
internal data class LogMemberModel(val applied: Int = 0, val snapshot: Int = 0)

/** An entry; [told] is the highest position in the log of a change that it was told since its start. */
internal data class EntryModel(val view: EvacuationView = EvacuationView(), val told: Int = 0)

/**
 * @property log the committed commands
 * @property pending number of the call whose command the leader has appended and not committed; null for none
 * @property leader position of the leader among [members]; null while there is none
 * @property copies copies of each call that can still be delivered
 * @property sent number of calls that the operator has sent
 * @property acknowledged number of calls of which it has an acknowledgement; the next one is sent after that
 */
internal data class EvacuationWorld(
    val log: PersistentList<EvacuateDataCentre>,
    val pending: Int?,
    val members: PersistentList<LogMemberModel>,
    val leader: Int?,
    val copies: PersistentList<Int>,
    val sent: Int,
    val acknowledged: Int,
    val entries: PersistentList<EntryModel>,
)

/** A next world, the name of the step to it, and what it breaks, or null. */
internal class EvacuationStep(val name: String, val world: EvacuationWorld, val broken: String? = null)

/**
 * @property calls the operator's calls, in order
 * @property dropsLate whether a call whose caller has given up is dropped, as [onEvent] keeps the highest revision
 */
internal class EvacuationModel(
    private val calls: List<EvacuateDataCentre>,
    private val copiesPerCall: Int,
    private val memberCount: Int,
    private val entryCount: Int = 1,
    private val dropsLate: Boolean = true,
    private val onEvent: EvacuationView.(Evacuations, Boolean) -> EvacuationView = { told, byLeader ->
        onEvent(told.revision, told.byDataCentre.keys, byLeader)
    },
) {
    private val states = HashMap<Pair<List<EvacuateDataCentre>, LogMemberModel>, Evacuations>()

    val start = EvacuationWorld(
        persistentListOf(),
        pending = null,
        List(memberCount) { LogMemberModel() }.toPersistentList(),
        leader = 0,
        List(calls.size) { copiesPerCall }.toPersistentList(),
        sent = 0,
        acknowledged = 0,
        List(entryCount) { EntryModel() }.toPersistentList(),
    )

    private fun List<EvacuateDataCentre>.applyTo(state: ControlState): ControlState =
        fold(state) { next, command -> apply(next, next.appliedIndex + 1, command).state }

    /** The evacuations of a member that restored its snapshot and applied the entries after it. */
    private fun evacuationsOf(world: EvacuationWorld, member: LogMemberModel): Evacuations {
        val entries = world.log.take(member.applied)
        return states.getOrPut(entries to member) {
            val snapshot = entries.take(member.snapshot).applyTo(ControlState()).encodeSnapshot()
            entries.drop(member.snapshot).applyTo(checkNotNull(decodeSnapshot(snapshot).get())).evacuations
        }
    }

    /** The data centres that are evacuated after each of the [commands], and before the first one. */
    private fun namesAfter(commands: List<EvacuateDataCentre>): List<Set<String>> =
        commands.runningFold(emptySet()) { names, command ->
            if (command.evacuated) names + command.dataCentre else names - command.dataCentre
        }

    /** What has to be in force: the acknowledged calls, unless the operator awaits the outcome of a further one. */
    private fun requiredNames(world: EvacuationWorld): Set<String>? =
        namesAfter(calls.take(world.acknowledged)).last().takeIf { world.sent == world.acknowledged }

    /** All steps that can come next. */
    fun steps(world: EvacuationWorld): List<EvacuationStep> = operatorSteps(world) + logSteps(world) +
        world.members.indices.flatMap { memberSteps(world, it) } + entrySteps(world)

    private fun operatorSteps(world: EvacuationWorld): List<EvacuationStep> {
        val next = if (world.sent == world.acknowledged && world.sent < calls.size) {
            listOf(EvacuationStep("send ${world.sent}", world.copy(sent = world.sent + 1)))
        } else {
            emptyList()
        }
        if (world.leader == null || world.pending != null) return next
        return next + (0 until world.sent).filter { world.copies[it] > 0 }.map { call ->
            val copies = world.copies.set(call, world.copies[call] - 1)
            val dropped = dropsLate && call < world.sent - 1
            EvacuationStep("deliver $call", world.copy(copies = copies, pending = call.takeUnless { dropped }))
        }
    }

    private fun logSteps(world: EvacuationWorld): List<EvacuationStep> {
        val call = world.pending ?: return emptyList()
        val committed = commit(world)
        val acknowledged = committed.copy(acknowledged = maxOf(committed.acknowledged, call + 1))
        return listOf(
            step("commit $call, acknowledged", acknowledged),
            step("commit $call, acknowledgement lost", committed),
        )
    }

    private fun commit(world: EvacuationWorld): EvacuationWorld {
        val log = world.pending?.let { world.log.add(calls[it]) } ?: world.log
        val next = world.copy(log = log, pending = null)
        return world.leader?.let { next.with(it, next.members[it].copy(applied = log.size)) } ?: next
    }

    private fun EvacuationWorld.with(number: Int, member: LogMemberModel) = copy(members = members.set(number, member))

    private fun memberSteps(world: EvacuationWorld, number: Int): List<EvacuationStep> {
        val member = world.members[number]
        val outcomes = listOfNotNull(world.copy(pending = null), world.pending?.let { commit(world) })
        val steps = ArrayList<EvacuationStep>()
        if (member.applied < world.log.size) {
            steps += step("$number applies", world.with(number, member.copy(applied = member.applied + 1)))
        }
        if (member.snapshot < member.applied) {
            steps += step("$number compacts", world.with(number, member.copy(snapshot = member.applied)))
        }
        if (number != world.leader) {
            outcomes.forEach {
                steps +=
                    step("$number leads", it.copy(leader = number).with(number, caughtUp(it, number)))
            }
            steps += step("$number loses its disk", world.with(number, LogMemberModel()))
        }
        if (number == 0) outcomes.forEach { steps += step("all are killed", restarted(it)) }
        return steps
    }

    private fun caughtUp(world: EvacuationWorld, number: Int) = world.members[number].copy(applied = world.log.size)

    private fun restarted(world: EvacuationWorld) =
        world.copy(leader = null, members = world.members.map { it.copy(applied = it.snapshot) }.toPersistentList())

    private fun entrySteps(world: EvacuationWorld): List<EvacuationStep> = world.entries.indices.flatMap { entry ->
        listOf(EvacuationStep("entry $entry restarts", world.copy(entries = world.entries.set(entry, EntryModel())))) +
            world.members.indices.map { member -> tell(world, entry, member) }
    }

    private fun tell(world: EvacuationWorld, entry: Int, member: Int): EvacuationStep {
        val before = world.entries[entry]
        val names = namesAfter(world.log.take(world.members[member].applied))
        val changed = names.indices.lastOrNull { it > 0 && names[it] != names[it - 1] } ?: 0
        val evacuations = evacuationsOf(world, world.members[member])
        val after = EntryModel(before.view.onEvent(evacuations, member == world.leader), maxOf(before.told, changed))
        val next = world.copy(entries = world.entries.set(entry, after))
        return EvacuationStep("$member tells entry $entry", next, broken(world, before.view, after, member))
    }

    private fun broken(world: EvacuationWorld, before: EvacuationView, entry: EntryModel, from: Int): String? {
        val view = entry.view
        val known = namesAfter(world.log.take(entry.told)).last()
        val wrong = calls.map { it.dataCentre }.firstOrNull { view.allows(it) == it in known }
        val required = requiredNames(world)
        return when {
            view.revision < before.revision -> "the entry went back from ${before.revision} to ${view.revision}"
            view.revision == before.revision && view.dataCentres != before.dataCentres -> "one revision, two states"
            wrong != null -> "the entry was told $known, and allows $wrong: ${view.allows(wrong)}"
            from == world.leader && required != null && view.dataCentres.toSet() != required ->
                "the leader told ${view.dataCentres}, acknowledged is $required"
            else -> null
        }
    }

    /** The step to [world], with a check of what the leader, and members that have applied all, hold. */
    private fun step(name: String, world: EvacuationWorld): EvacuationStep {
        val required = requiredNames(world) ?: return EvacuationStep(name, world)
        val wrong = world.members.indices.firstOrNull { number ->
            val member = world.members[number]
            member.applied == world.log.size && evacuationsOf(world, member).byDataCentre.keys != required
        }
        return EvacuationStep(name, world, wrong?.let { "member $it does not hold the acknowledged $required" })
    }
}
