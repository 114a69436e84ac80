package org.bramleyspur.control.member

import org.bramleyspur.log.LogStatus
import org.bramleyspur.log.MemberRole
import org.bramleyspur.log.MemberStatus
import org.bramleyspur.log.consensus.MembershipChange
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a voter that has lost its disk, loss of the majority, and a missing voter that is not replaced. */
class MemberReplacementTest {
    private fun status(vararg members: MemberStatus) =
        LogStatus("c1", 1, MemberRole.LEADER, null, 9, 9, 9, 0, members.toList())

    private fun voter(id: String, sinceLastAckMs: Long = 0) =
        MemberStatus(id, "10.0.0.${id.last()}:1", true, 0, sinceLastAckMs)

    private fun learner(id: String, lag: Long = 0, sinceLastAckMs: Long = 0) =
        MemberStatus(id, "10.0.0.${id.last()}:1", false, lag, sinceLastAckMs)

    private val threeVoters = arrayOf(voter("c1"), voter("c2"), voter("c3"))
    private val unresponsiveThird = arrayOf(voter("c1"), voter("c2"), voter("c3", sinceLastAckMs = 2_500))

    private val changes = listOf(
        Triple("all responsive", status(*threeVoters), null),
        Triple("short pause", status(voter("c1"), voter("c2"), voter("c3", 1_500), learner("c4")), null),
        Triple("no replacement", status(*unresponsiveThird), null),
        Triple("replacement ready", status(*unresponsiveThird, learner("c4")), MembershipChange.Remove("c3")),
        Triple("replacement behind", status(*unresponsiveThird, learner("c4", lag = 500)), null),
        Triple("replacement unresponsive", status(*unresponsiveThird, learner("c4", sinceLastAckMs = 900)), null),
        Triple(
            "promotion after removal",
            status(voter("c1"), voter("c2"), learner("c4")),
            MembershipChange.Promote("c4"),
        ),
        Triple("spare learner stays a learner", status(*threeVoters, learner("c4")), null),
        Triple(
            "learner unresponsive for too long",
            status(*threeVoters, learner("c4", 9, 30_000)),
            MembershipChange.Remove("c4"),
        ),
        Triple("one voter too many", status(*unresponsiveThird, voter("c4")), MembershipChange.Remove("c3")),
        Triple(
            "no responsive majority",
            status(voter("c1"), voter("c2", 3_000), voter("c3", 3_000), learner("c4")),
            null,
        ),
    )

    @TestFactory
    fun `next change`() = changes.map { (name, status, expected) ->
        DynamicTest.dynamicTest(name) { expectThat(nextMembershipChange(status, 3)).isEqualTo(expected) }
    }

    private class AdmissionCase(val name: String, val id: String, val address: String, val expected: Admission)

    private val admissions = listOf(
        AdmissionCase("member", "c2", "10.0.0.2:1", Admission.Member),
        AdmissionCase("new", "x", "10.0.0.9:1", Admission.Change(MembershipChange.AddLearner("x", "10.0.0.9:1"))),
        AdmissionCase(
            "lost disk",
            "x",
            "10.0.0.2:1",
            Admission.Change(MembershipChange.AddLearner("x", "10.0.0.2:1", "c2")),
        ),
        AdmissionCase("lost disk again", "x", "10.0.0.4:1", Admission.Change(MembershipChange.Remove("c4"))),
    )

    @TestFactory
    fun admission() = admissions.map { case ->
        DynamicTest.dynamicTest(case.name) {
            expectThat(admit(status(*threeVoters, learner("c4")), case.id, case.address)).isEqualTo(case.expected)
        }
    }

    private class RequestCase(
        val name: String,
        val expected: Boolean,
        val id: String = "c2",
        val sinceLeaderContactMs: Long?,
    )

    private val requests = listOf(
        RequestCase("follower of a leader", false, sinceLeaderContactMs = 100),
        RequestCase("leader", false, sinceLeaderContactMs = null),
        RequestCase("during an election", false, sinceLeaderContactMs = 1_500),
        RequestCase("removed while it did not run", true, sinceLeaderContactMs = 2_500),
        RequestCase("not a member", true, id = "x", sinceLeaderContactMs = 100),
    )

    /** Guards against an instance that was removed while its disk was full, and never has a vote again. */
    @TestFactory
    fun `admission request`() = requests.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val status = status(*threeVoters)
                .copy(memberId = case.id, sinceLeaderContactMs = case.sinceLeaderContactMs)
            expectThat(needsAdmission(status)).isEqualTo(case.expected)
        }
    }
}
