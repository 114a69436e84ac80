package org.bramleyspur.core.backend

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against work for a backend server that has left, whose address another one has, or whose group is not
 * complete, with announcements that arrive late and out of order.
 */
class BackendDirectoryTest {
    private val first = Announcement(
        id = "a",
        bornMs = 100,
        sequence = 5,
        service = "s",
        address = "10.0.0.1:80",
        dataCentre = "z",
        slots = 4,
        state = BackendState.READY,
        domain = "d",
        staged = persistentListOf(),
        place = null,
    )

    private fun directory(vararg announcements: Announcement) =
        announcements.fold(BackendDirectory()) { directory, next -> directory.with(next, 0) }

    private fun BackendDirectory.ids() = plain("s").map { it.announcement.id }.sorted()

    @Test
    fun `an older announcement changes nothing`() {
        val leaving = first.copy(sequence = 6, state = BackendState.LEAVING)
        expectThat(directory(leaving, first).ids()).isEmpty()
    }

    @Test
    fun `a late announcement does not bring back what has left`() {
        expectThat(
            directory(first, first.copy(sequence = 9, state = BackendState.GONE), first.copy(sequence = 8)).ids(),
        )
            .isEmpty()
    }

    @Test
    fun `a new start under the same id counts anew`() {
        val gone = first.copy(sequence = 9, state = BackendState.GONE)
        expectThat(directory(gone, first.copy(bornMs = 200, sequence = 1)).ids()).containsExactly("a")
    }

    @Test
    fun `the later start has the address`() {
        val successor = first.copy(id = "b", bornMs = 200, sequence = 1, service = "s")
        expectThat(directory(first, successor).ids()).containsExactly("b")
        expectThat(directory(successor, first).ids()).containsExactly("b")
    }

    @Test
    fun `an old start that withdraws does not touch the new one`() {
        val successor = first.copy(id = "b", bornMs = 200, sequence = 1)
        val late = first.copy(sequence = 9, state = BackendState.GONE)
        expectThat(directory(first, successor, late).ids()).containsExactly("b")
    }

    @Test
    fun `heads of complete open groups`() {
        val group = GroupId("g1", 1)
        val head = first.copy(place = GroupPlace(group, 0, GroupState.OPEN, "m"))
        val member = first.copy(
            id = "b",
            address = "10.0.0.2:80",
            place = GroupPlace(group, 1, GroupState.READY, "m"),
        )
        val restarted = member.copy(bornMs = 300, sequence = 1, place = null)
        expectThat(directory(head, member).heads("s", "m", 2).map { it.announcement.id }).containsExactly("a")
        expectThat(directory(head, member, restarted).heads("s", "m", 2)).isEmpty()
        expectThat(directory(head).heads("s", "m", 2)).isEmpty()
        expectThat(directory(head, member).heads("s", "other", 2)).isEmpty()
        val leaving = head.copy(sequence = 6, state = BackendState.LEAVING)
        expectThat(directory(head, member, leaving).heads("s", "m", 2)).isEmpty()
    }

    @Test
    fun `what was not heard of for long is forgotten`() {
        expectThat(directory(first).expire(299_000).backends.size).isEqualTo(1)
        expectThat(directory(first).expire(301_000).backends.size).isEqualTo(0)
    }
}
