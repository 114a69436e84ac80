package org.bramleyspur.core.backend

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LastModelTest {
    /** Announcements of one backend server, and the last model that is known after them. */
    private class Case(val name: String, val announcements: List<Announcement>, val lastModel: String?)

    private val free = testAnnouncement.copy(sequence = 1)
    private val joining = inGroup(GroupState.JOINING, sequence = 2)
    private val ready = inGroup(GroupState.READY, sequence = 3)
    private val left = free.copy(sequence = 4)

    private val cases = listOf(
        Case("it was in no group", listOf(free), null),
        Case("it is about to be ready", listOf(free, joining), null),
        Case("it is ready", listOf(free, joining, ready), "m"),
        Case("it has left the group", listOf(joining, ready, left), "m"),
        Case("it renews its announcement", listOf(ready, left, left.copy(sequence = 5)), "m"),
        Case("it joins a group of another model", listOf(ready, left, inGroup(GroupState.JOINING, 5, "n")), "m"),
        Case("it is ready for another model", listOf(ready, left, inGroup(GroupState.READY, 5, "n")), "n"),
        Case(
            "it has restarted",
            listOf(ready, left, left.copy(startedAtMs = left.startedAtMs + 1, sequence = 1)),
            null,
        ),
    )

    // Guards against a new leader that takes an engine for one without weights because its last group has ended.
    @TestFactory
    fun `the last model of a backend server`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val directory = case.announcements.fold(BackendDirectory()) { known, next ->
                known.withAnnouncement(next, 0)
            }
            expectThat(directory.backends.values.single().lastModel).isEqualTo(case.lastModel)
        }
    }

    private fun inGroup(state: GroupState, sequence: Long, model: String = "m") =
        free.copy(sequence = sequence, groupMembership = GroupMembership(GroupId("g", sequence), 0, state, model))
}
