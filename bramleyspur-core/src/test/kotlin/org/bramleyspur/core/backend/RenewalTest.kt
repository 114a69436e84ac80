package org.bramleyspur.core.backend

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against a renewal that hides a change which the receiver has missed, or that brings an ended life back. */
class RenewalTest {
    private val group = GroupMembership(GroupId("g1", 1), 0, GroupState.READY, "m")
    private val known = testAnnouncement.copy(stagedModels = persistentListOf("m"), groupMembership = group)
    private val directory = BackendDirectory().withAnnouncement(known, 0)
        .withAnnouncement(known.copy(id = "gone", address = "10.0.0.2:80", state = BackendState.GONE), 0)

    private fun renewalOf(announcement: Announcement) =
        Renewal(announcement.id, announcement.startedAtMs, announcement.sequence, announcement.contentChecksum())

    private class Case(val name: String, val announced: Announcement, val renewed: Boolean, val missing: Boolean)

    private val next = known.copy(sequence = 6)

    private val cases = listOf(
        Case("the same content", next, renewed = true, missing = false),
        Case("the same announcement again", known, renewed = false, missing = false),
        Case("an earlier announcement", known.copy(sequence = 4), renewed = false, missing = false),
        Case("an earlier life", next.copy(startedAtMs = 90), renewed = false, missing = false),
        Case("an unknown life", known.copy(startedAtMs = 200, sequence = 2), renewed = false, missing = true),
        Case("an unknown backend server", next.copy(id = "b"), renewed = false, missing = true),
        Case("a life that has ended", next.copy(id = "gone"), renewed = false, missing = false),
        Case("another state", next.copy(state = BackendState.LEAVING), renewed = false, missing = true),
        Case("another address", next.copy(address = "10.0.0.1:81"), renewed = false, missing = true),
        Case("other weights", next.copy(stagedModels = persistentListOf()), renewed = false, missing = true),
        Case("no group", next.copy(groupMembership = null), renewed = false, missing = true),
        Case(
            "another group state",
            next.copy(groupMembership = group.copy(state = GroupState.OPEN)),
            renewed = false,
            missing = true,
        ),
        Case(
            "another epoch",
            next.copy(groupMembership = group.copy(id = GroupId("g1", 2))),
            renewed = false,
            missing = true,
        ),
    )

    @TestFactory
    fun `only a renewal of the known content is applied`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val outcome = directory.renew(renewalOf(case.announced), 1_000)
            expectThat(outcome is RenewalOutcome.Renewed).isEqualTo(case.renewed)
            expectThat(outcome is RenewalOutcome.Unknown).isEqualTo(case.missing)
        }
    }

    @Test
    fun `a renewal moves the sequence and the time of receipt`() {
        val outcome = directory.renew(renewalOf(next), 1_000)
        expectThat(outcome).isA<RenewalOutcome.Renewed>().get { directory.backends["a"] }
            .isEqualTo(KnownBackend(next, 1_000, lastModel = group.model))
    }

    @Test
    fun `selections follow a change after renewals`() {
        val plain = known.copy(groupMembership = null)
        val renewed = BackendDirectory().withAnnouncement(plain, 0).withAnnouncement(plain.copy(sequence = 6), 10)
        expectThat(renewed.readyPlainBackends("s")).hasSize(1)
        val left = renewed.withAnnouncement(plain.copy(sequence = 7, state = BackendState.LEAVING), 20)
        expectThat(left.readyPlainBackends("s")).hasSize(0)
        val back = left.withAnnouncement(plain.copy(startedAtMs = 200, sequence = 1), 30)
        expectThat(back.readyPlainBackends("s")).hasSize(1)
    }
}
