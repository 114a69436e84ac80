package org.bramleyspur.daemon.member

import com.github.michaelbull.result.unwrap
import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.FillableDisk
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Guards against a timer, and with it a copy of log and state, that is left each time the log is opened again. */
class ControlNodeCloseTest {
    @TempDir
    lateinit var directory: Path

    private class Case(val name: String, val failures: Int, val end: (ControlNode, FillableDisk) -> Unit)

    private val cases = listOf(
        Case("closed", 0) { node, _ -> node.close() },
        Case("disk full", 1) { _, disk -> disk.full = true },
        Case("disk full, but closed before it writes", 0) { node, disk ->
            disk.full = true
            node.close()
        },
    )

    @TestFactory
    fun `no timer is left`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val timers = ManualTimers()
            val disk = FillableDisk()
            val path = Files.createDirectories(directory.resolve("${cases.indexOf(case)}"))
            disk.open(DiskFileSystem(path))
            val failures = mutableListOf<StorageError>()
            val group = NioEventLoopGroup(1)
            val node = ControlNode(
                LogStorage.open(disk, FirstStart.Bootstrap("a", mapOf("a" to "127.0.0.1:1"))).unwrap(),
                "127.0.0.1:1",
                { it.run() },
                timers,
                { it.run() },
                PeerTransport(group),
                NoListener,
                SNAPSHOT_ENTRIES,
                { failures += it },
                { null },
            )
            node.start()
            case.end(node, disk)
            // An election writes the vote.
            timers.advance(ELECTION_LIMIT_MS)
            expectThat(failures.size).isEqualTo(case.failures)
            expectThat(timers.active).hasSize(0)
            group.shutdownGracefully()
        }
    }

    private object NoListener : ControlNodeListener {
        override fun onLeading(term: Long) = Unit

        override fun onLeadershipLost() = Unit

        override fun onStateChanged(before: ControlState, after: ControlState) = Unit
    }

    /** Timers that run when the time is advanced; this test needs recurring ones only. */
    private class ManualTimers : TimerService {
        private var now = 0L
        val active = mutableListOf<Recurring>()

        class Recurring(val periodMs: Long, val action: () -> Unit)

        override fun nowMs() = now

        override fun after(delayMs: Long, action: () -> Unit): TimerHandle = error("no single timer is expected")

        override fun every(periodMs: Long, action: () -> Unit): TimerHandle {
            val timer = Recurring(periodMs, action)
            active += timer
            return TimerHandle { active -= timer }
        }

        fun advance(byMs: Long) {
            repeat(byMs.toInt()) {
                now++
                active.toList().filter { now % it.periodMs == 0L && it in active }.forEach { it.action() }
            }
        }
    }

    private companion object {
        const val SNAPSHOT_ENTRIES = 200L
        const val ELECTION_LIMIT_MS = 5_000L
    }
}
