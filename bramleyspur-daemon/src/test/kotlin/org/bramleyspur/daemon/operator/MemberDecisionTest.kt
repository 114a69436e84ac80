package org.bramleyspur.daemon.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bramleyspur.language.AdmitControl
import org.bramleyspur.language.MemberCommand
import org.bramleyspur.language.RemoveControl
import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberRole
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitReply.Outcome
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against membership changes that run twice, are refused without a remedy, or report a wrong outcome. */
class MemberDecisionTest {
    class RefusedCase(val command: MemberCommand, val remedy: String) {
        override fun toString() = "$command"
    }

    @ParameterizedTest
    @MethodSource("refused")
    fun `a wrong command is refused with the remedy`(case: RefusedCase) {
        expectThat(decide(case.command, status)).isA<MemberDecision.Refuse>().get { message }.contains(case.remedy)
    }

    @ParameterizedTest
    @MethodSource("alreadyApplied")
    fun `a change that is already applied is accepted without a second change`(command: MemberCommand) {
        expectThat(decide(command, status)).isA<MemberDecision.AlreadyApplied>()
    }

    @ParameterizedTest
    @MethodSource("proposed")
    fun `a new change is proposed`(case: Pair<MemberCommand, MembershipChange>) {
        expectThat(decide(case.first, status)).isA<MemberDecision.Propose>().get { change }.isEqualTo(case.second)
    }

    @ParameterizedTest
    @MethodSource("outcomes")
    fun `only an error that proves that nothing was appended is a refusal`(case: Pair<ProposeError, Outcome>) {
        expectThat(replyTo(Err(case.first)).outcome).isEqualTo(case.second)
    }

    @Test
    fun `a committed change is accepted`() {
        expectThat(replyTo(Ok(7L))) {
            get { outcome }.isEqualTo(Outcome.ACCEPTED)
            get { repeated }.isEqualTo(false)
        }
    }

    private fun replyTo(result: Result<Long, ProposeError>): SubmitReply {
        val replies = mutableListOf<SubmitReply>()
        val decision = MemberDecision.Propose(MembershipChange.Remove("c2"), "c2 is removed")
        execute(decision, { _, done -> done(result) }) { replies += it.build() }
        return replies.single()
    }

    private companion object {
        val status = LogStatus(
            memberId = "c1",
            term = 3,
            role = MemberRole.LEADER,
            leader = null,
            lastIndex = 9,
            commitIndex = 9,
            appliedIndex = 9,
            snapshotIndex = 0,
            members = listOf(
                MemberStatus("c1", "127.0.0.1:1", voter = true, lag = 0),
                MemberStatus("c2", "127.0.0.1:2", voter = true, lag = 0),
                MemberStatus("c3", "127.0.0.1:3", voter = false, lag = 0),
            ),
        )

        @JvmStatic
        fun refused() = listOf(
            RefusedCase(AdmitControl("c4", "host:4"), "give IP:PORT"),
            RefusedCase(AdmitControl("c4", "127.0.0.1:2"), "in place of 'c2'"),
            RefusedCase(AdmitControl("c4", "127.0.0.1:4", "c9"), "show control lists"),
            RefusedCase(AdmitControl("c2", "127.0.0.1:4"), "remove it first"),
            RefusedCase(AdmitControl("c2", "127.0.0.1:2", "c1"), "remove control 'c1'"),
        )

        @JvmStatic
        fun alreadyApplied() = listOf(
            AdmitControl("c2", "127.0.0.1:2"),
            AdmitControl("c2", "127.0.0.1:2", "c9"),
            AdmitControl("c3", "127.0.0.1:3", "c1"),
            RemoveControl("c9"),
        )

        @JvmStatic
        fun proposed() = listOf(
            AdmitControl("c4", "127.0.0.1:4") to MembershipChange.AddLearner("c4", "127.0.0.1:4"),
            AdmitControl("c4", "127.0.0.1:2", "c2") to MembershipChange.AddLearner("c4", "127.0.0.1:2", "c2"),
            RemoveControl("c1") to MembershipChange.Remove("c1"),
            RemoveControl("c2") to MembershipChange.Remove("c2"),
        )

        @JvmStatic
        fun outcomes() = listOf(
            ProposeError.ChangeInProgress to Outcome.REFUSED,
            ProposeError.InvalidChange("last voter") to Outcome.REFUSED,
            ProposeError.OutcomeUnknown to Outcome.UNAVAILABLE,
            ProposeError.Closed to Outcome.UNAVAILABLE,
        )
    }
}
