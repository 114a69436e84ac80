package org.bramleyspur.control.state

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.bramleyspur.core.model.Revision
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against commands and snapshots that change when they are encoded and decoded. */
class WireTest {
    @ParameterizedTest
    @MethodSource("commands")
    fun `a decoded command equals the encoded one`(command: ControlCommand) {
        expectThat(decodeCommand(command.encode()).get()).isEqualTo(command)
    }

    @Test
    fun `a decoded state equals the encoded one, and equal states have equal encodings`() {
        val machine = populatedMachine()
        val bytes = machine.state.encodeSnapshot()
        val restored = decodeSnapshot(bytes).get()
        expectThat(restored).isEqualTo(machine.state)
        expectThat(restored?.encodeSnapshot()?.toList()).isEqualTo(bytes.toList())
    }

    @Test
    fun `a snapshot preserves the order of recorded commands`() {
        val machine = populatedMachine()
        val order = machine.state.commands.keys.toList()
        machine.restart()
        expectThat(machine.state.commands.keys.toList()).isEqualTo(order)
    }

    @Test
    fun `corrupt bytes are reported as an error`() {
        val corrupt = byteArrayOf(0x0A, 0x7F, 1)
        expectThat(decodeCommand(corrupt).getError()).isNotNull().get { message }.contains("replace the member")
        expectThat(decodeCommand(byteArrayOf()).getError()).isNotNull().get { message }.contains("unknown kind")
        expectThat(decodeSnapshot(corrupt).getError()).isNotNull().get { message }.contains("replace the member")
    }

    private fun populatedMachine() = Machine.ready().apply {
        accepted("roll out recipes to v2; drain instance i9")
        apply(FinishRollOut("recipes", "v2"))
        submit("drop service none")
        apply(assign(assignment("r1", "i1", "i2", version = "v2")))
        repeat(40) { claim(claim("r$it", key = claimKey.copy(key = "k$it"))) }
        complete(6, ClaimOutcome.Responded(response("saved")), claimKey.copy(key = "k0"))
        complete(7, ClaimOutcome.Unknown, claimKey.copy(key = "k1"))
        repeat(40) { submit("drain instance i$it", id = "z${it * 7 % 40}") }
    }

    private companion object {
        @JvmStatic
        fun commands() = listOf(
            Submit("id", Revision(7), "drain instance i1", 99),
            assign(assignment("r1", "i1", "i2"), assignment("r2", "i3")),
            end("r1", 4),
            FinishRollOut("recipes", "v2"),
            claim("r1", atMs = 5),
            Complete(claimKey, 3, ClaimOutcome.Responded(response("body"))),
            Complete(claimKey, 3, ClaimOutcome.Responded(response("x".repeat(MAX_STORED_BODY_BYTES + 1)))),
            Complete(claimKey, 3, ClaimOutcome.Responded(response(""))),
            Complete(claimKey, 3, ClaimOutcome.NotRun),
            Complete(claimKey, 3, ClaimOutcome.Unknown),
            ExpireClaims(8),
        )
    }
}
