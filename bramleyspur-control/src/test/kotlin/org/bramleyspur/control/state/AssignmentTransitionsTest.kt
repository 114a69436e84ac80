package org.bramleyspur.control.state

import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.ReplicaId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against an instance in two replicas, incomplete replicas, and decisions on an outdated configuration. */
class AssignmentTransitionsTest {
    class Case(val name: String, val command: Assign, val message: String) {
        override fun toString() = name
    }

    private fun machine() = Machine.ready().apply {
        accepted("create service small model sausage-7b version v1; drain instance i9")
        apply(assign(assignment("r1", "i1", "i2")))
    }

    @ParameterizedTest
    @MethodSource("refused")
    fun `an invalid assignment is refused with all others of its command`(case: Case) {
        val machine = machine()
        val before = machine.state.assignments
        val result = machine.apply(case.command)
        expectThat(result).isA<AssignResult.Refused>().get { message }.contains(case.message)
        expectThat(machine.state.assignments).isEqualTo(before)
    }

    @Test
    fun `the log index becomes the fencing number of every assignment of the command`() {
        val machine = machine()
        machine.accepted("roll out recipes to v2")
        val result = machine.apply(assign(assignment("r2", "i3", "i4"), assignment("r3", "i5", "i6", version = "v2")))
        expectThat(result).isEqualTo(AssignResult.Assigned(FencingNumber(5)))
        expectThat(machine.state.assignments.mapValues { it.value.fencingNumber.value })
            .isEqualTo(mapOf(ReplicaId("r1") to 3L, ReplicaId("r2") to 5L, ReplicaId("r3") to 5L))
    }

    @Test
    fun `only the end of the current assignment frees its instances`() {
        val machine = machine()
        expectThat(machine.apply(end("r1", 2))).isEqualTo(AssignmentEnded(false))
        expectThat(machine.apply(assign(assignment("r1", "i1", "i2")))).isA<AssignResult.Refused>()
        expectThat(machine.apply(end("r1", 3))).isEqualTo(AssignmentEnded(true))
        expectThat(
            machine.apply(assign(assignment("r1", "i1", "i2"))),
        ).isEqualTo(AssignResult.Assigned(FencingNumber(7)))
        expectThat(machine.apply(end("r1", 3))).isEqualTo(AssignmentEnded(false))
    }

    private companion object {
        val valid = assignment("r2", "i3", "i4")

        @JvmStatic
        fun refused() = listOf(
            Case("empty", assign(), "no assignment"),
            Case("replica assigned", assign(valid, assignment("r1", "i5", "i6")), "r1 is already assigned"),
            Case("replica twice", assign(valid, assignment("r2", "i5", "i6")), "r2 is already assigned"),
            Case("instance in use", assign(valid, assignment("r3", "i5", "i1")), "i1 is in another replica"),
            Case("instance twice", assign(valid, assignment("r3", "i5", "i4")), "i4 is in another replica"),
            Case("instance twice in a replica", assign(assignment("r3", "i5", "i5")), "i5 is in another replica"),
            Case("drained", assign(valid, assignment("r3", "i5", "i9")), "i9 is drained"),
            Case("unknown service", assign(assignment("r3", "i5", "i6", service = "gone")), "gone does not exist"),
            Case("plain service", assign(assignment("r3", "i5", "i6", service = "book")), "is plain"),
            Case("other version", assign(assignment("r3", "i5", "i6", version = "v2")), "has no version v2"),
            Case("other model", assign(valid.copy(model = "other")), "have changed"),
            Case("too few", assign(valid, assignment("r3", "i5")), "has 2 instances, not 1"),
            Case("too many", assign(assignment("r3", "i5", "i6", service = "small")), "has 1 instances, not 2"),
        )
    }
}
