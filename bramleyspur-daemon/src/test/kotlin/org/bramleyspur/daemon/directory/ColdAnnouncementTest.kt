package org.bramleyspur.daemon.directory

import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.io.PrintStream

/** Guards against a planning run for each announcement of a cold engine, which differ from one to the next. */
class ColdAnnouncementTest {
    private val announcement = Announcement(
        id = "a",
        startedAtMs = 1,
        sequence = 1,
        service = "s",
        address = "10.0.0.1:80",
        dataCentre = "z",
        slots = 4,
        state = BackendState.READY,
        fabricDomain = "",
        stagedModels = persistentListOf(),
        groupMembership = null,
    )

    @Test
    fun `the time for which an engine stays cold is passed on without planning`() {
        val loops = EventLoops()
        var changes = 0
        val directory = ControlDirectory(
            "c",
            "127.0.0.1:1",
            emptyList(),
            loops.controlGroup,
            ManualTimers(),
            DecisionLog(PrintStream(OutputStream.nullOutputStream()), { 0L }),
            ControlDirectoryContext(
                document = { null },
                evacuations = { Evacuations() },
                confirmed = { false },
                members = { emptyList() },
                onEntryReport = {},
                onBackendChanged = { changes++ },
            ),
        )
        for ((index, coldMs) in listOf(0L, 3_000L, 1_800L, 0L).withIndex()) {
            directory.recordOwn(announcement.copy(sequence = index + 1L, coldRemainingMs = coldMs))
            expectThat(directory.backends.backends["a"]?.announcement?.coldRemainingMs).isEqualTo(coldMs)
        }
        expectThat(changes).isEqualTo(1)
        loops.close()
    }
}
