package org.bramleyspur.core.backend

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against routing requests to a backend server that has deregistered, whose address now belongs to another one,
 * or whose group is incomplete, when announcements arrive late and out of order.
 */
class BackendDirectoryTest {
    private val announcement = testAnnouncement

    private fun directory(vararg announcements: Announcement) =
        announcements.fold(BackendDirectory()) { directory, next -> directory.withAnnouncement(next, 0) }

    private fun BackendDirectory.ids() = readyPlainBackends("s").map { it.id }.sorted()

    @Test
    fun `an older announcement is ignored`() {
        val leaving = announcement.copy(sequence = 6, state = BackendState.LEAVING)
        expectThat(directory(leaving, announcement).ids()).isEmpty()
    }

    @Test
    fun `a delayed announcement does not restore a deregistered backend server`() {
        expectThat(
            directory(
                announcement,
                announcement.copy(sequence = 9, state = BackendState.GONE),
                announcement.copy(sequence = 8),
            ).ids(),
        )
            .isEmpty()
    }

    /** Guards against a server that is in use again after a process that was partitioned when it left reports it. */
    @Test
    fun `a process that missed a deregistration does not restore the backend server`() {
        val gone = directory(
            announcement,
        ).withAnnouncement(announcement.copy(sequence = 6, state = BackendState.GONE), 0)
        val restored = (0L..600_000L step 5_000L).filter { nowMs ->
            val partitioned = directory(announcement).expire(nowMs).backends["a"] ?: return@filter false
            gone.expire(nowMs).withAnnouncement(partitioned.announcement, partitioned.receivedAtMs).ids().isNotEmpty()
        }
        expectThat(restored).isEmpty()
    }

    @Test
    fun `a restart under the same id replaces an earlier deregistration`() {
        val gone = announcement.copy(sequence = 9, state = BackendState.GONE)
        expectThat(directory(gone, announcement.copy(startedAtMs = 200, sequence = 1)).ids()).containsExactly("a")
    }

    @Test
    fun `the backend server that started last owns a shared address`() {
        val successor = announcement.copy(id = "b", startedAtMs = 200, sequence = 1, service = "s")
        expectThat(directory(announcement, successor).ids()).containsExactly("b")
        expectThat(directory(successor, announcement).ids()).containsExactly("b")
    }

    @Test
    fun `a delayed deregistration of an earlier backend server does not remove its successor`() {
        val successor = announcement.copy(id = "b", startedAtMs = 200, sequence = 1)
        val delayedDeregistration = announcement.copy(sequence = 9, state = BackendState.GONE)
        expectThat(directory(announcement, successor, delayedDeregistration).ids()).containsExactly("b")
    }

    @Test
    fun `only complete open groups have a head`() {
        val group = GroupId("g1", 1)
        val head = announcement.copy(groupMembership = GroupMembership(group, 0, GroupState.OPEN, "m"))
        val member = announcement.copy(
            id = "b",
            address = "10.0.0.2:80",
            groupMembership = GroupMembership(group, 1, GroupState.READY, "m"),
        )
        val restarted = member.copy(startedAtMs = 300, sequence = 1, groupMembership = null)
        expectThat(directory(head, member).openGroupHeads("s", "m", 2).map { it.announcement.id }).containsExactly("a")
        expectThat(directory(head, member, restarted).openGroupHeads("s", "m", 2)).isEmpty()
        expectThat(directory(head).openGroupHeads("s", "m", 2)).isEmpty()
        expectThat(directory(head, member).openGroupHeads("s", "other", 2)).isEmpty()
        val leaving = head.copy(sequence = 6, state = BackendState.LEAVING)
        expectThat(directory(head, member, leaving).openGroupHeads("s", "m", 2)).isEmpty()
    }

    /** Guards against a writer that announces ids without end, which exhausts the memory or displaces the others. */
    @Test
    fun `the directory is bounded and keeps the servers that go on announcing`() {
        var directory = BackendDirectory()
        for (second in 0..3) {
            val nowMs = second * 1_000L
            directory = directory.withAnnouncement(announcement.copy(sequence = second.toLong()), nowMs)
            for (n in 1..1_000) {
                val odd = announcement.copy(id = "odd-$second-$n", address = "10.1.$second.${n / 250}:${n + 1}")
                directory = directory.withAnnouncement(odd, nowMs + 1)
            }
        }
        expectThat(directory.backends.size).isEqualTo(BackendDirectory.MAX_BACKENDS)
        expectThat(directory.backends["a"]?.announcement?.sequence).isEqualTo(3)
        val stale = announcement.copy(id = "stale", address = "10.2.0.1:80")
        expectThat(directory.withAnnouncement(stale, 0).backends.containsKey("stale")).isEqualTo(false)
    }

    @Test
    fun `a backend server without announcements expires`() {
        expectThat(directory(announcement).expire(299_000).backends.size).isEqualTo(1)
        expectThat(directory(announcement).expire(301_000).backends.size).isEqualTo(0)
    }
}
