package org.bramleyspur.daemon.orders

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.control.group.DomainEngines
import org.bramleyspur.control.group.PlannerState
import org.bramleyspur.control.group.ServiceTargets
import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.daemon.LoggedLines
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.ModelDemand
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

/** Guards against demand that is reported and changes nothing, and against a change that the log does not tell. */
class DemandDriverTest {
    private val timers = ManualTimers()
    private val lines = LoggedLines(timers::nowMs)
    private val registry = PrometheusRegistry()
    private val driver = DemandDriver(timers, lines.log, DemandMetrics(registry))
    private val models = persistentListOf(modelSpec("a", 2, share = 0.5), modelSpec("b", 2, share = 0.5))
    private val document = engineDocument(*models.toTypedArray())
    private val planner = PlannerState(
        targets = persistentMapOf("s" to ServiceTargets(mapOf("d" to DomainEngines(17)), models, emptyMap())),
    )

    private fun report(entry: String, requests: Long): DirectoryRequest = DirectoryRequest.newBuilder()
        .setInstance(entry)
        .setEntry(true)
        .setStartedAtMs(1)
        .addDemand(
            ModelDemand.newBuilder().setService("s").setModel("a").setRequests(requests)
                .setPromptTokens(requests * 1_000).setOutputTokens(requests * 85),
        )
        .build()

    private fun play(seconds: Long, requestsPerSecond: Long) = repeat((seconds * 4).toInt()) {
        timers.advance(REPORT_INTERVAL_MS)
        val requests = timers.nowMs() * requestsPerSecond / 1_000
        listOf("e1", "e2").forEach { driver.onEntryReport(report(it, requests)) }
        driver.targets(1, document, planner)
    }

    @Test
    fun `lasting demand for one model changes the shares in use`() {
        play(seconds = 60, requestsPerSecond = 80)
        val targets = driver.targets(1, document, planner).getValue("s")
        expectThat(targets.shares.getValue("a")).isGreaterThan(0.5)
        val line = lines.of("demand").first()
        expectThat(line).contains("\"to\":\"a\"").contains("\"measured\":\"a=0.9").contains("cost_engine_ms")
        expectThat(registry.scrape { it == "bramleyspur_demand_changes" }.size()).isEqualTo(1)
    }

    @Test
    fun `demand that all engines can serve changes nothing`() {
        play(seconds = 60, requestsPerSecond = 2)
        expectThat(driver.targets(1, document, planner).getValue("s").shares.getValue("a")).isEqualTo(0.5)
        expectThat(driver.targets(1, document, planner).getValue("s").move).isNull()
    }

    private companion object {
        const val REPORT_INTERVAL_MS = 250L
    }
}
