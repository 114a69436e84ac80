/*
 * Test support: a small deployment in which operators evacuate data centres. The log is abstract: what is committed is
 * kept, a leader has applied all of it, and other members are behind by any number of entries. The commands, snapshots
 * and the view of the entry are those of the product.
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
    val entry: EvacuationView,
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
        EvacuationView(),
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

    /** What has to be in force: the acknowledged calls, unless the operator awaits the outcome of a further one. */
    private fun requiredNames(world: EvacuationWorld): Set<String>? =
        calls.take(world.acknowledged).fold(emptySet<String>()) { names, call ->
            if (call.evacuated) names + call.dataCentre else names - call.dataCentre
        }.takeIf { world.sent == world.acknowledged }

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

    private fun entrySteps(world: EvacuationWorld): List<EvacuationStep> =
        listOf(EvacuationStep("the entry restarts", world.copy(entry = EvacuationView()))) +
            world.members.indices.map { number ->
                val told = evacuationsOf(world, world.members[number])
                val entry = world.entry.onEvent(told, number == world.leader)
                EvacuationStep("$number tells the entry", world.copy(entry = entry), broken(world, entry, number))
            }

    private fun broken(world: EvacuationWorld, entry: EvacuationView, from: Int): String? {
        val before = world.entry
        val required = requiredNames(world)
        return when {
            entry.revision < before.revision -> "the entry went back from ${before.revision} to ${entry.revision}"
            entry.revision == before.revision && entry.dataCentres != before.dataCentres -> "one revision, two states"
            from == world.leader && required != null && entry.dataCentres.toSet() != required ->
                "the leader told ${entry.dataCentres}, acknowledged is $required"
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
