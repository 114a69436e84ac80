package org.bramleyspur.core.wire

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.AnnouncementBounds
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.validate
import org.bramleyspur.protocol.BackendAnnouncement
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/**
 * Guards against an announcement from an instance of another version that ends the stream on which it arrives, or that
 * is added to the directory although no backend server can be reached by it.
 */
class DirectoryWireTest {
    private val group = GroupMembership(GroupId("g", 1), 0, GroupState.OPEN, "m")
    private val sound = Announcement(
        id = "a",
        startedAtMs = 100,
        sequence = 5,
        service = "s",
        address = "10.0.0.1:80",
        dataCentre = "z",
        slots = 4,
        state = BackendState.READY,
        fabricDomain = "d",
        stagedModels = persistentListOf("m"),
        groupMembership = group,
    )

    private fun changed(change: BackendAnnouncement.Builder.() -> Unit): BackendAnnouncement =
        sound.toMessage(0).toBuilder().apply(change).build()

    private val unusable = listOf(
        "unknown state" to changed { state = "SLEEPY" },
        "no state" to changed { clearState() },
        "unknown group state" to changed { setGroup(group.toBuilder().setState("DANCING")) },
        "port 0" to changed { address = "10.0.0.1:0" },
        "port out of range" to changed { address = "10.0.0.1:99999" },
        "no address" to changed { clearAddress() },
        "no slots" to changed { slots = 0 },
        "negative start time" to changed { bornMs = -1 },
        "start time in the far future" to changed { bornMs = 95_617_584_000_000 },
        "sequence out of range" to changed { sequence = Long.MAX_VALUE },
        "long id" to changed { id = "x".repeat(3_000) },
        "control character in the id" to changed { id = "a\r\nb" },
        "long service" to changed { service = "x".repeat(1_000_000) },
        "many models" to changed { addAllStagedModels(List(1_000) { "m" }) },
        "long models" to changed { addAllStagedModels(List(60) { "x".repeat(120) }) },
        "rank out of range" to changed { setGroup(group.toBuilder().setRank(-1)) },
        "epoch out of range" to changed { setGroup(group.toBuilder().setEpoch(-1)) },
        "no service after a deregistration" to changed {
            state = BackendState.GONE.name
            clearService()
        },
        "cold for weeks" to changed { coldRemainingMs = -1 },
        "two ports" to changed { address = "10.0.0.1:80:81" },
    )

    @TestFactory
    fun `an unusable announcement is dropped`() = unusable.map { (name, message) ->
        DynamicTest.dynamicTest(name) { expectThat(decode(message)).isEqualTo(null) }
    }

    @TestFactory
    fun `a sound announcement is converted both ways`() = listOf(
        "in a group" to sound,
        "in no group" to sound.copy(groupMembership = null),
        "deregistered" to sound.copy(state = BackendState.GONE),
        "deregistered before it was known" to BackendDirectory().tombstone("a", 200)!!,
        "cold" to sound.copy(coldRemainingMs = 2_999),
        "without a start time" to sound.copy(startedAtMs = 0),
    ).map { (name, announcement) ->
        DynamicTest.dynamicTest(name) { expectThat(decode(announcement.toMessage(0))).isEqualTo(announcement) }
    }

    /** Guards against a directory that no watcher can receive, since it exceeds the limit of a message. */
    @Test
    fun `a full directory of the largest announcements fits into a message`() {
        val models = List(AnnouncementBounds.MAX_STAGED_MODELS) { "m".repeat(20) }.toPersistentList()
        val largest = sound.copy(
            id = "x".repeat(AnnouncementBounds.MAX_NAME_CHARS),
            startedAtMs = NOW_MS,
            sequence = AnnouncementBounds.SEQUENCE.last,
            service = "s".repeat(AnnouncementBounds.MAX_NAME_CHARS),
            dataCentre = "z".repeat(AnnouncementBounds.MAX_NAME_CHARS),
            slots = 1_000_000,
            fabricDomain = "d".repeat(AnnouncementBounds.MAX_NAME_CHARS),
            stagedModels = models,
            groupMembership = group.copy(id = GroupId("g".repeat(AnnouncementBounds.MAX_NAME_CHARS), Long.MAX_VALUE)),
        )
        expectThat(largest.validate(NOW_MS)).isEqualTo(null)
        expectThat(largest.toMessage(300_000).serializedSize * BackendDirectory.MAX_BACKENDS)
            .isLessThan(MAX_MESSAGE_BYTES)
    }

    private companion object {
        /** Limit of a message between instances. */
        const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
        const val NOW_MS = 1_000_000L
    }

    private fun decode(message: BackendAnnouncement): Announcement? = message.toModel(NOW_MS).get()
}
