package org.bramleyspur.control.placement

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/**
 * Guards each rule of the repair policy. A case lists instances as `name@domain` with a mark (`?` suspect since 0 s,
 * `!` failed, `d` drained, `l` leaving, `f` flapping, `h` held by its agent) and replicas as `members=state`; the first
 * letter of a domain is its data centre. Actions are written `+members` (create), `-replica` (retire), `~` (wait) and
 * `#` (not possible).
 */
class RepairDecisionTest {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "the policy waits for a paused member | x1 | a@x1 b@x1? c@x1 | ab=broken | 10 | ~",
            "the replica is broken up for a spare when the wait is over | x1 | a@x1 b@x1? c@x1 | ab=broken | 60 | -ab",
            "the replica is broken up for a spare at once after a crash | x1 | a@x1 b@x1! c@x1 | ab=broken | 1 | -ab",
            "a spare group is loaded at once | x1 | a@x1 b@x1? c@x1 d@x1 | ab=broken | 1 | +cd",
            "no second replacement is started | x1 | a@x1 b@x1? c@x1 d@x1 e@x1 f@x1 | " +
                "ab=broken cd=loading | 1 |",
            "a broken replica is retired once its replacement serves | x1 | a@x1 b@x1? c@x1 d@x1 | " +
                "ab=broken cd=serving | 1 | -ab",
            "a replacement is retired when its predecessor resumes | x1 | a@x1 b@x1 c@x1 d@x1 | " +
                "ab=serving cd=loading | 1 | -cd",
            "members regroup within a fabric domain | x2 | a@x1 b@x1! c@x1 d@x1! | ab=broken cd=broken | 1 | -ab -cd",
            "members of two domains do not regroup | x2 | a@x1 b@x1! c@x2 d@x2! | ab=broken cd=broken | 1 | # #",
            "another data centre is used when its own has no group | x1 | a@x1 b@x1! c@y1 d@y1 | ab=broken | 1 | +cd",
            "a failed fabric domain is reported when no group is free | x1 | a@x1! b@x1! c@x2 | ab=broken | 1 | #",
            "a replica that a member has left is retired | x1 | a@x1 b@x1 | ab=lost | 1 | -ab",
            "the weight store's limit queues a load | x3 | a@x1 b@x1 c@x1 d@x1 e@x1 f@x1 | " +
                "ab=loading cd=loading | 1 | ~",
            "a flapping instance is not used | x1 | a@x1 b@x1f | | 1 | #",
            "an instance whose agent holds an assignment is not used | x1 | a@x1 b@x1h | | 1 | #",
            "a frozen instance is not used | x1 | a@x1 b@x1? | | 1 | #",
            "a drained member is replaced first | x1 | a@x1 b@x1d c@x1 d@x1 | ab=serving | 1 | +cd",
            "a drained member ends its replica once replaced | x1 | a@x1 b@x1d c@x1 d@x1 | " +
                "ab=serving cd=serving | 1 | -ab",
            "a drained member ends its replica without spares | x1 | a@x1 b@x1d c@x1 | ab=serving | 1 | -ab",
            "a leaving member's replica is replaced and retired | x1 | a@x1 b@x1l c@x1 d@x1 | ab=serving | 1 | +cd -ab",
            "scale up | x2 | a@x1 b@x1 c@x1 d@x1 | ab=serving | 1 | +cd",
            "scale down | x1 | a@x1 b@x1 c@x1 d@x1 | ab=serving cd=serving | 1 | -ab",
            "a removed service | x0 | a@x1 b@x1 | ab=serving | 1 | -ab",
            "a roll-out starts the new version first | x1+ | a@x1 b@x1 c@x1 d@x1 | ab=serving | 1 | +cd",
            "a roll-out then retires the old version | x1+ | a@x1 b@x1 c@x1 d@x1 | ab=serving cd=serving2 | 1 | -ab",
            "a roll-out without spares retires one | x2+ | a@x1 b@x1 c@x1 d@x1 | ab=serving cd=serving | 1 | -ab",
            "a roll-out without spares waits for the load | x2+ | a@x1 b@x1 c@x1 d@x1 | ab=loading2 cd=serving | 1 |",
            "a roll-out waits for a broken replica | x2+ | a@x1 b@x1? c@x1 d@x1 | ab=broken cd=serving | 1 | ~",
            "a rollback retires the new version's load | x1 | a@x1 b@x1 c@x1 d@x1 | ab=serving cd=loading2 | 1 | -cd",
            "complete groups are kept in other domains | x1 | a@x1 b@x1 c@x1 d@x1 e@x2 f@x2 g@x2 | | 1 | +ab",
            "the smaller domain of complete groups is used first | x1 | a@x1 b@x1 c@x1 d@x1 e@x2 f@x2 | | 1 | +ef",
        ],
    )
    fun `the ragusa preset decides`(
        case: String,
        wanted: String,
        instances: String,
        replicas: String?,
        second: Long,
        expected: String?,
    ) {
        val snapshot = snapshot(wanted, instances, replicas.orEmpty())
        val decided = decidePlacement(snapshot, RepairPolicy.ragusa, second * 1_000).map { it.notation() }
        expectThat(decided).describedAs(case).isEqualTo(expected.orEmpty().split(" ").filter { it.isNotEmpty() })
    }

    @Test
    fun `the kerherve preset gives a paused member time before it loads a spare group and waits longer`() {
        val spare = snapshot("x1", "a@x1 b@x1? c@x1 d@x1", "ab=broken")
        expectThat(decidePlacement(spare, RepairPolicy.kerherve, 4_999).map { it.notation() }).isEqualTo(listOf("~"))
        expectThat(decidePlacement(spare, RepairPolicy.kerherve, 5_000).map { it.notation() }).isEqualTo(listOf("+cd"))
        val single = snapshot("x1", "a@x1 b@x1? c@x1", "ab=broken")
        expectThat(decidePlacement(single, RepairPolicy.kerherve, 60_000).map { it.notation() }).isEqualTo(listOf("~"))
    }

    @Test
    fun `a domain that lost an instance right after a repair is avoided`() {
        val snapshot = snapshot("x1", "a@x1 b@x1 c@x1! e@x2 f@x2 g@x2", "")
        val lost = snapshot.instances.mapValues { (name, it) ->
            if (name.value == "c") it.copy(failuresMs = listOf(500)) else it
        }
        val repaired = snapshot.copy(instances = lost, repairs = listOf(Repair("s", "x1", 400)))
        expectThat(decidePlacement(snapshot, RepairPolicy.ragusa, 1_000).map { it.notation() }).isEqualTo(listOf("+ab"))
        expectThat(decidePlacement(repaired, RepairPolicy.ragusa, 1_000).map { it.notation() }).isEqualTo(listOf("+ef"))
    }

    @Test
    fun `downtime and stranded accelerators are counted`() {
        val snapshot = snapshot("x2", "a@x1 b@x1 c@x1 d@x1! e@x1?", "ab=serving cd=broken")
        expectThat(measure(snapshot)).isEqualTo(Measures(downReplicas = 1, strandedAccelerators = 2))
        expectThat(measure(snapshot).accumulatedOver(500) + Measures(1, 1)).isEqualTo(Measures(501, 1_001))
    }

    @ParameterizedTest
    @CsvSource("3,3", "4,3")
    fun `a roll-out and its rollback replace one replica at a time`(wanted: Int, leastServing: Int) {
        val replay = PlacementReplay(DeploymentSize(1, 1, 8, 2, listOf(wanted)), RepairPolicy.ragusa, 1)
        replay.run(600, emptyList(), failAfterRepair = false)
        listOf("v2", "v1").forEach { version ->
            replay.services = mapOf("s" to replay.service(version))
            repeat(1_500) {
                replay.run(1, emptyList(), failAfterRepair = false)
                val serving = replay.snapshot().replicas.count { it.state == ReplicaState.Serving }
                expectThat(serving).isGreaterThanOrEqualTo(leastServing)
            }
            expectThat(replay.replicas.map { it.assignment.version }).isEqualTo(List(wanted) { version })
            expectThat(replay.actions).isEmpty()
        }
    }
}

private fun snapshot(wanted: String, instances: String, replicas: String): PlacementSnapshot {
    val count = wanted.filter { it.isDigit() }.toInt()
    val placements = mapOf("x" to count).toPersistentMap()
    val next = "v2".takeIf { wanted.endsWith("+") }
    val service = Service("s", ServiceKind.MODEL, "m", "v1", next, instancesPerReplica = 2, placements = placements)
    val built = replicas.split(" ").filter { it.isNotEmpty() }.map { replica(it) }
    val all = instances.split(" ").map { instance(it) }.associateBy { it.name }
    return PlacementSnapshot(if (count > 0) mapOf("s" to service) else emptyMap(), all, built)
}

private fun instance(text: String): PlacementInstance {
    val name = text.substringBefore("@")
    val domain = text.substringAfter("@").take(2)
    val mark = text.substringAfter("@").drop(2)
    val health = when (mark) {
        "?" -> Health.Suspect(0)
        "!" -> Health.Failed(0)
        else -> Health.Live
    }
    return PlacementInstance(
        Member(InstanceName(name), "$name:1"),
        dataCentre = domain.take(1),
        fabricDomain = domain,
        health = health,
        free = health == Health.Live && mark != "h",
        drained = mark == "d",
        leaving = mark == "l",
        failuresMs = if (mark == "f") listOf(1, 2, 3) else emptyList(),
    )
}

private fun replica(text: String): PlacementReplica {
    val (members, state) = text.split("=")
    val list = members.map { Member(InstanceName("$it"), "$it:1") }.toImmutableList()
    val version = if (state.endsWith("2")) "v2" else "v1"
    val assignment =
        Assignment(ReplicaId(members), FencingNumber(1), "s", "m", version, persistentListOf(), list)
    val progress = when (state.removeSuffix("2")) {
        "serving" -> ReplicaState.Serving
        "loading" -> ReplicaState.Loading
        "broken" -> ReplicaState.Broken(0, recoverable = true)
        else -> ReplicaState.Broken(0, recoverable = false)
    }
    return PlacementReplica(assignment, "x", progress)
}

private fun PlacementAction.notation(): String = when (this) {
    is PlacementAction.CreateReplica -> "+" + members.joinToString("") { it.instance.value }
    is PlacementAction.RetireReplica -> "-$replica"
    is PlacementAction.Wait -> "~"
    is PlacementAction.NotPossible -> "#"
}
