package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** What the log holds when the first heartbeat arrives [sinceLeaderMs] after a leader began, and the share it gets. */
private data class FirstHeartbeat(
    val case: String,
    val before: Configuration,
    val reportedShare: Int,
    val sinceLeaderMs: Long,
    val share: Int,
)

/** Guards against callers of a limited account that are refused although no entry can hold a share of its limit. */
class FirstSharesTest {
    private val declared = Configuration(
        Revision(7),
        accounts = persistentMapOf("x" to Account("x", "", maxConcurrent = 100)),
    )
    private val accountless = Configuration(Revision(5))

    @TestFactory
    fun `an entry gets its share as soon as no other entry can hold one`() = listOf(
        FirstHeartbeat("first configuration", Configuration(), 0, sinceLeaderMs = 100, share = 100),
        FirstHeartbeat("account of an earlier leader", declared, 0, sinceLeaderMs = 100, share = 0),
        FirstHeartbeat("account of an earlier leader, share held", declared, 40, sinceLeaderMs = 100, share = 40),
        FirstHeartbeat(
            "an earlier leader may have dropped the account",
            accountless,
            0,
            sinceLeaderMs = 100,
            share = 0,
        ),
        FirstHeartbeat("earlier leases have expired", declared, 0, sinceLeaderMs = 6_060, share = 100),
    ).map { case ->
        DynamicTest.dynamicTest(case.case) { expectThat(firstShare(case)).isEqualTo(case.share) }
    }

    private fun firstShare(case: FirstHeartbeat): Int? {
        val entry = ProcessDescription(ProcessRole.ENTRY, InstanceName("e"), Incarnation("e-1"), "e:1")
        val report = HeartbeatReport(1, Revision(7), uses = mapOf("x" to AccountUse(0, 0, case.reportedShare)))
        val declaration = SessionEvent.Committed(declared, emptyList()).takeIf { case.before != declared }
        val events = listOfNotNull(
            0L to SessionEvent.BecameLeader(2, case.before, emptyList()),
            declaration?.let { 50L to it },
            case.sinceLeaderMs to SessionEvent.Hello(1, entry, Revision(7)),
            case.sinceLeaderMs to SessionEvent.Heartbeat(1, report),
        )
        val last = events.fold(SessionStep(SessionState.initial(), emptyList())) { step, (nowMs, event) ->
            step.state.handle(event, nowMs)
        }
        return last.effects.filterIsInstance<SessionEffect.HeartbeatResponse>().single().shares["x"]
    }
}
