package org.bramleyspur.traffic.evacuation

import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an entry that takes back a change which it knows, or serves on the word of a stale follower. */
class EvacuationViewTest {
    private class Event(val revision: Long, val names: List<String>, val byLeader: Boolean)

    private class Case(val name: String, val events: List<Event>, val expected: EvacuationView)

    private fun leader(revision: Long, vararg names: String) = Event(revision, names.toList(), byLeader = true)

    private fun follower(revision: Long, vararg names: String) = Event(revision, names.toList(), byLeader = false)

    private val cases = listOf(
        Case("nothing told", emptyList(), EvacuationView()),
        Case("a follower without a change", listOf(follower(0)), EvacuationView()),
        Case("the leader without a change", listOf(leader(0)), EvacuationView(0, persistentSetOf(), true)),
        Case("a follower knows more", listOf(leader(3), follower(5, "a")), view(5, true, "a")),
        Case("a follower knows less", listOf(leader(5, "a"), follower(3)), view(5, true, "a")),
        Case("a leader that is behind", listOf(follower(5, "a"), leader(3)), view(5, true, "a")),
        Case("a finish, then a late start", listOf(leader(5, "a"), leader(7), follower(5, "a")), view(7, true)),
        Case("two data centres", listOf(leader(5, "a"), leader(7, "a", "b")), view(7, true, "a", "b")),
        Case("followers only", listOf(follower(5, "a"), follower(7)), view(7, false)),
    )

    private fun view(revision: Long, confirmed: Boolean, vararg names: String) =
        EvacuationView(revision, persistentSetOf(*names), confirmed)

    @TestFactory
    fun `what an entry knows after events`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val view = case.events.fold(EvacuationView()) { view, event ->
                view.onEvent(event.revision, event.names, event.byLeader)
            }
            expectThat(view).isEqualTo(case.expected)
            listOf("a", "b").forEach { expectThat(view.allows(it)).isEqualTo(it !in case.expected.dataCentres) }
            expectThat(view.usable(uptimeMs = 0)).isEqualTo(case.expected.confirmed)
            expectThat(view.usable(EvacuationView.LEADER_WAIT_MS)).isEqualTo(true)
        }
    }
}
