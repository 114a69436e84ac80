package org.bramleyspur.daemon.orders

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.control.demand.DemandCounts
import org.bramleyspur.control.demand.DemandMeter
import org.bramleyspur.control.demand.DemandReport
import org.bramleyspur.control.demand.DemandState
import org.bramleyspur.control.demand.ServedModel
import org.bramleyspur.control.demand.ShareChange
import org.bramleyspur.control.demand.decideDemand
import org.bramleyspur.control.group.DemandTargets
import org.bramleyspur.control.group.PlannerState
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.DirectoryRequest
import java.util.Locale

/** Prometheus metrics of the shares that the targets of groups follow. */
internal class DemandMetrics(registry: PrometheusRegistry) {
    val changes: Counter = Counter.builder()
        .name("bramleyspur_demand_changes_total")
        .help("Changes of the shares of the work that the targets of groups follow, by service.")
        .labelNames("service")
        .register(registry)
    val shares: Gauge = Gauge.builder()
        .name("bramleyspur_demand_share")
        .help("Share of the work that the targets of groups follow, by service and model.")
        .labelNames("service", "model")
        .register(registry)
}

/**
 * Measures the demand that entries report, on every control instance, and decides on the targets while this one leads.
 * Confined to the control thread.
 */
internal class DemandDriver(
    private val timers: TimerService,
    private val log: DecisionLog,
    private val metrics: DemandMetrics,
) {
    private var meter = DemandMeter()
    private var state = DemandState()
    private var decidedAtMs: Long? = null

    /** Measures the counts in a report of an entry. */
    fun onEntryReport(report: DirectoryRequest) {
        if (report.startedAtMs == 0L) return
        val counts = report.demandList.associate {
            ServedModel(it.service, it.model) to
                DemandCounts(it.requests, it.refused, it.promptTokens, it.outputTokens)
        }
        meter = meter.with(DemandReport(report.instance, report.startedAtMs, counts), timers.nowMs())
    }

    /** What the demand asks of the planner, whose state is [planner], of the leader of [term]. */
    fun targets(term: Long, document: Document, planner: PlannerState): Map<String, DemandTargets> {
        val nowMs = timers.nowMs()
        val last = decidedAtMs
        if (state.term == term && last != null && nowMs - last < DECISION_INTERVAL_MS) return state.targets
        decidedAtMs = nowMs
        meter = meter.expire(nowMs)
        val step = decideDemand(state, term, document, planner, meter, nowMs)
        state = step.state
        step.changes.forEach { (service, change) -> record(service, change) }
        return state.targets
    }

    private fun record(service: String, change: ShareChange) {
        val targets = state.targets.getValue(service)
        metrics.changes.labelValues(service).inc()
        targets.shares.forEach { (model, share) -> metrics.shares.labelValues(service, model).set(share) }
        log.write(
            "demand",
            "service" to service,
            "measured" to textOf(change.measured),
            "used" to textOf(targets.shares),
            "from" to targets.move?.from.orEmpty().joinToString(","),
            "to" to targets.move?.to.orEmpty().joinToString(","),
            "held_ms" to change.heldMs,
            "gain_engine_ms" to change.gained.toLong(),
            "cost_engine_ms" to change.cost.toLong(),
        )
    }

    private fun textOf(shares: Map<String, Double>): String =
        shares.entries.joinToString(",") { (model, share) -> "$model=" + String.format(Locale.ROOT, "%.3f", share) }

    private companion object {
        /** Two reports of each entry arrive in this time. */
        const val DECISION_INTERVAL_MS = 500L
    }
}
