package org.bramleyspur.control.state

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple.of
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against state that depends on restarts, resends that are applied twice, and double grants or assignments, with
 * random sequences of commands, resends and restarts from snapshots.
 */
class StateSequenceTest {
    /** A generated step; null restarts the member from its snapshot. */
    class Step(val command: ControlCommand?) {
        override fun toString() = command.toString()
    }

    @Property(seed = "20260201", tries = 300)
    fun aMemberThatRestartsFromSnapshotsHasTheSameStateAndGivesTheSameResults(@ForAll("steps") steps: List<Step>) {
        val uninterrupted = Machine.ready()
        val restarting = Machine.ready()
        steps.forEach { step ->
            val command = step.command
            if (command == null) {
                restarting.restart()
            } else {
                expectThat(restarting.apply(command)).isEqualTo(uninterrupted.apply(command))
            }
        }
        expectThat(restarting.state).isEqualTo(uninterrupted.state)
        expectThat(restarting.state.encodeSnapshot().toList()).isEqualTo(uninterrupted.state.encodeSnapshot().toList())
    }

    @Property(seed = "20260202", tries = 300)
    fun aResendGetsTheFirstResultAndChangesNothing(@ForAll("steps") steps: List<Step>) {
        val machine = Machine.ready()
        val firstResults = mutableMapOf<Submit, SubmitResult>()
        steps.forEach { step ->
            val before = machine.state
            val command = step.command ?: return@forEach machine.restart()
            val result = machine.apply(command)
            if (command is Submit && result is SubmitResult) {
                val first = firstResults[command.copy(submittedAtMs = 0)]
                if (first != null) {
                    expectThat(result).isEqualTo(first.copy(repeated = first.repeated || result.repeated))
                    expectThat(machine.state.copy(appliedIndex = 0)).isEqualTo(before.copy(appliedIndex = 0))
                } else if (command.commandId in before.commands) {
                    expectThat(result.accepted).isEqualTo(false)
                } else {
                    firstResults[command.copy(submittedAtMs = 0)] = result
                }
            }
        }
    }

    @Property(seed = "20260203", tries = 300)
    fun ofCommandsThatExpectTheSameRevisionAtMostOneIsAccepted(@ForAll("steps") steps: List<Step>) {
        val machine = Machine.ready()
        val acceptedIds = mutableMapOf<Revision, MutableSet<String>>()
        steps.forEach { step ->
            val command = step.command ?: return@forEach machine.restart()
            val before = machine.state.configuration
            val result = machine.apply(command)
            if (command is Submit && result is SubmitResult) {
                val accepted = result.accepted && command.expectedRevision != Revision.NONE
                if (accepted) acceptedIds.getOrPut(command.expectedRevision) { mutableSetOf() }.add(command.commandId)
                if (!result.accepted || result.repeated) expectThat(machine.state.configuration).isEqualTo(before)
            }
        }
        acceptedIds.values.forEach { expectThat(it).hasSize(1) }
    }

    @Property(seed = "20260204", tries = 500)
    fun aClaimIsGrantedAtMostOnceForEachNotRunProof(@ForAll("claimSteps") steps: List<Step>) {
        val machine = Machine()
        val grants = mutableMapOf<ClaimKey, Int>()
        val proofs = mutableMapOf<ClaimKey, Int>()
        steps.forEach { step ->
            val command = step.command ?: return@forEach machine.restart()
            val result = machine.apply(command)
            if (command is Claim && result is ClaimResult.Granted) grants.merge(command.key, 1, Int::plus)
            val proved = command is Complete && command.outcome == ClaimOutcome.NotRun && result == Completed(true)
            if (proved) proofs.merge((command as Complete).key, 1, Int::plus)
        }
        grants.forEach { (key, count) -> expectThat(count).isLessThanOrEqualTo(1 + (proofs[key] ?: 0)) }
    }

    @Property(seed = "20260205", tries = 300)
    fun noInstanceIsInTwoReplicasAndFencingNumbersOfAnInstanceGrow(@ForAll("steps") steps: List<Step>) {
        val machine = Machine.ready()
        val latest = mutableMapOf<InstanceName, Long>()
        steps.forEach { step ->
            val command = step.command ?: return@forEach machine.restart()
            machine.apply(command)
            val members = machine.state.assignments.values.flatMap { a -> a.members.map { it.instance to a } }
            expectThat(members.map { it.first }.toSet()).hasSize(members.size)
            members.forEach { (instance, assignment) ->
                val number = assignment.fencingNumber.value
                expectThat(latest.getOrDefault(instance, 0)).isLessThanOrEqualTo(number)
                latest[instance] = number
            }
        }
    }

    @Property(seed = "20260206", tries = 300)
    fun evacuationsFollowTheLastCallsAndResendsChangeNothing(@ForAll("evacuationSteps") steps: List<Step>) {
        val machine = Machine.ready()
        var required = emptySet<String>()
        steps.forEach { step ->
            val before = machine.state
            val command = step.command ?: return@forEach machine.restart()
            val result = machine.apply(command)
            val names = if (command is EvacuateDataCentre) required.after(command) else required
            val changes = names != required
            val revision = if (changes) machine.state.appliedIndex else before.evacuations.revision
            required = names
            expectThat(machine.state.evacuations.revision).isEqualTo(revision)
            expectThat<Set<String>>(machine.state.evacuations.byDataCentre.keys).isEqualTo(required)
            if (command is EvacuateDataCentre) expectThat(result).isEqualTo(EvacuationChanged(changes, revision))
        }
    }

    private fun Set<String>.after(command: EvacuateDataCentre): Set<String> =
        if (command.evacuated) this + command.dataCentre else this - command.dataCentre

    @Provide
    fun steps(): Arbitrary<List<Step>> = Arbitraries.frequencyOf(
        of(6, submits()),
        of(3, assignments()),
        of(3, claims()),
        of(1, evacuations()),
        of(1, restarts()),
    ).list().ofMaxSize(40)

    @Provide
    fun evacuationSteps(): Arbitrary<List<Step>> = Arbitraries.frequencyOf(
        of(8, evacuations()),
        of(1, submits()),
        of(1, assignments()),
        of(1, claims()),
        of(2, restarts()),
    ).list().ofMaxSize(60)

    private fun evacuations(): Arbitrary<Step> = Combinators
        .combine(Arbitraries.of("a", "b", "c"), Arbitraries.of(true, false), Arbitraries.longs().between(0, HOUR_MS))
        .`as` { dataCentre, evacuated, atMs -> Step(EvacuateDataCentre(dataCentre, evacuated, atMs)) }

    @Provide
    fun claimSteps(): Arbitrary<List<Step>> =
        Arbitraries.frequencyOf(of(8, claims()), of(1, restarts())).list().ofMaxSize(60)

    private fun restarts(): Arbitrary<Step> = Arbitraries.just(Step(null))

    /** Few command ids, so that resends and reused ids are frequent. */
    private fun submits(): Arbitrary<Step> = Combinators
        .combine(
            Arbitraries.integers().between(0, 9),
            Arbitraries.longs().between(0, 12),
            Arbitraries.of(statements),
            Arbitraries.longs().between(0, 3),
        ).`as` { id, expected, text, hours -> Step(Submit("c$id", Revision(expected), text, hours * HOUR_MS)) }

    private fun assignments(): Arbitrary<Step> {
        val instances = Arbitraries.of("i1", "i2", "i3", "i4")
        val replicas = Arbitraries.of("r1", "r2", "r3")
        val assigns = Combinators.combine(replicas, instances, instances, Arbitraries.of("v1", "v2")).`as` {
                r,
                a,
                b,
                v,
            ->
            Step(assign(assignment(r, a, b, version = v)))
        }
        val ends = Combinators.combine(replicas, Arbitraries.longs().between(1, 20)).`as` { r, n -> Step(end(r, n)) }
        val finishes = Arbitraries.of("v1", "v2").map { Step(FinishRollOut("recipes", it)) }
        return Arbitraries.oneOf(assigns, ends, finishes)
    }

    private fun claims(): Arbitrary<Step> {
        val keys = Arbitraries.of("k1", "k2").map { claimKey.copy(key = it) }
        val outcomes = Arbitraries.of(
            ClaimOutcome.NotRun,
            ClaimOutcome.Unknown,
            ClaimOutcome.Responded(response("saved")),
        )
        val claims = Combinators
            .combine(
                keys,
                Arbitraries.of("r1", "r2", "r3"),
                Arbitraries.of("a1", "a2"),
                Arbitraries.of("d1", "d1", "d2"),
            )
            .`as` { key, request, agent, digest -> Step(claim(request, 0, digest, agent, key)) }
        val completes = Combinators
            .combine(keys, Arbitraries.longs().between(1, 20), outcomes)
            .`as` { key, grant, outcome -> Step(Complete(key, grant, outcome)) }
        return Arbitraries.oneOf(
            claims,
            completes,
            Arbitraries.longs().between(0, HOUR_MS).map {
                Step(ExpireClaims(it))
            },
        )
    }

    private companion object {
        val statements = listOf(
            "drain instance i1",
            "return instance i1; drain instance i2",
            "drain instance i3; return instance i4",
            "roll out recipes to v2",
            "roll back recipes",
            "create service extra plain accounts kitchen; drain instance i4",
            "drop service extra",
            "alter account kitchen weight 2",
            "drop account kitchen",
            "show services",
            "nonsense",
        )
    }
}
