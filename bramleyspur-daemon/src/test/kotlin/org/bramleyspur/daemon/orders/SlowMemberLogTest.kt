package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Ok
import com.google.protobuf.ByteString
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.backend.KnownBackend
import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.daemon.LoggedLines
import org.bramleyspur.protocol.DirectoryRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against a replacement that neither the log nor the metrics show, and against one without the setting. */
class SlowMemberLogTest {
    private val timers = ManualTimers()
    private val lines = LoggedLines(timers::nowMs)

    private val memberships = HashMap<String, GroupMembership?>()

    /** Lets a spare join and leave its single-engine group at once. */
    private fun execute(order: EngineOrder) {
        when (val command = order.command) {
            is EngineCommand.Join ->
                memberships[order.engineId] = GroupMembership(command.group, 0, GroupState.READY, "m")
            is EngineCommand.Leave -> memberships[order.engineId] = null
            else -> Unit
        }
    }

    private fun driver(metrics: SlowMemberMetrics?): GroupDriver {
        val calls = EngineCalls(
            order = { order, onResult ->
                execute(order)
                onResult(OrderResult.ACCEPTED, "")
            },
            probe = { address, onResult ->
                val pace = if (address == SLOW_ADDRESS) 3.0 else 1.0
                onResult(ProbeResult.Answered(EngineReport(0, null, pace)), "")
            },
            closeAllExcept = {},
        )
        return GroupDriver(timers, calls, { Ok(document) }, lines.log, { 0 }, replan = {}, slowMembers = metrics)
    }

    /** Announcements that are overdue, so that the leader asks for reports. */
    private fun run(driver: GroupDriver) = repeat(RUN_MS / STEP_MS) {
        timers.advance(STEP_MS.toLong())
        val report = DirectoryRequest.newBuilder().setInstance("f").setEntry(true)
        driver.onEntryReport(report.addAllAnsweringBackends(listOf("e0", "e2")).build())
        driver.plan(1, StoredDocument(1, ByteString.EMPTY), engines())
    }

    private fun engines(): Map<String, KnownBackend> = (0..4).associate { number ->
        "e$number" to KnownBackend(announcement(number), timers.nowMs() - OVERDUE_MS)
    }

    private fun announcement(number: Int): Announcement {
        val group = GroupId("g${number / 2}", 1)
        val open = GroupMembership(group, number % 2, GroupState.OPEN, "m").takeIf { number < SPARE }
        return engineAnnouncement(number, memberships.getOrDefault("e$number", open))
    }

    private val document = engineDocument(modelSpec("m", 2))

    @Test
    fun `a replacement is logged and counted`() {
        val metrics = SlowMemberMetrics(PrometheusRegistry())
        run(driver(metrics))
        expectThat(lines.of("engine-pace").single()).contains("\"engine\":\"e1\"").contains("\"slow\":true")
        expectThat(lines.of("group").single { it.contains("MEMBER_SLOW") }).contains("\"member\":\"e1\"")
        expectThat(metrics.replacements.labelValues("s").get()).isEqualTo(1.0)
    }

    @Test
    fun `nothing is replaced without the setting`() {
        run(driver(null))
        expectThat(lines.of("engine-pace")).isEmpty()
        expectThat(lines.of("group").filter { it.contains("MEMBER_SLOW") }).isEmpty()
    }

    private companion object {
        const val SLOW_ADDRESS = "10.0.0.1:2"
        const val SPARE = 4
        const val STEP_MS = 100
        const val RUN_MS = 9_000
        const val OVERDUE_MS = 1_600L
    }
}
