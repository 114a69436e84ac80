/*
 * The results of a run as JSON and as a table.
 */
package org.bramleyspur.testbed.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A figure that compares two groups of a scenario. */
@Serializable
internal data class Comparison(val name: String, val value: Double, val unit: String)

/** The results of a run. */
@Serializable
internal data class BenchReport(
    val scenario: String,
    val seed: Long,
    val calls: Int,
    @SerialName("wrong_texts") val wrongTexts: Long,
    val groups: List<GroupReport>,
    val comparisons: List<Comparison>,
)

/** Builds the report of [scenario] from its recorders. */
internal fun report(
    scenario: Scenario,
    seed: Long,
    calls: List<PlannedCall>,
    recorders: Map<String, GroupRecorder>,
): BenchReport {
    val seconds = calls.map { it.group }.distinct().associateWith { arrivalSecondsOf(scenario, it) }
    val groups = recorders.map { (group, recorder) -> recorder.report(seconds.getValue(group)) }
    return BenchReport(
        scenario = scenario.name.flag,
        seed = seed,
        calls = calls.size,
        wrongTexts = groups.sumOf { it.outcomes[Outcomes.WRONG_TEXT] ?: 0 },
        groups = groups,
        comparisons = comparisons(scenario.name, groups.associateBy { it.group }),
    )
}

/** All phases except the warm-up have the same length, and a group belongs to one phase. */
private fun arrivalSecondsOf(scenario: Scenario, group: String): Double =
    (scenario.phases.firstOrNull { it.group == group } ?: scenario.phases.last()).seconds

private fun comparisons(name: ScenarioName, groups: Map<String, GroupReport>): List<Comparison> = when (name) {
    ScenarioName.OVERHEAD -> compare(groups["direct"], groups["entry"], ::addedLatency)
    ScenarioName.OVERLOAD ->
        compare(groups["capacity"], groups["overload"]) { base, loaded ->
            listOf(Comparison("goodput at overload / at capacity", loaded.goodput / base.goodput, "ratio"))
        }
    ScenarioName.LARGE_ACCOUNT ->
        compare(groups["small-alone"], groups["small-with-large"]) { base, loaded ->
            listOf(
                ratio("first token p95 with large / alone", base.firstToken, loaded.firstToken),
                ratio("total p95 with large / alone", base.total, loaded.total),
            )
        }
    else -> emptyList()
}

private fun compare(
    base: GroupReport?,
    loaded: GroupReport?,
    compute: (GroupReport, GroupReport) -> List<Comparison>,
): List<Comparison> = if (base == null || loaded == null) emptyList() else compute(base, loaded)

private fun ratio(name: String, base: Percentiles, loaded: Percentiles) =
    Comparison(name, loaded.p95 / base.p95, "ratio")

private fun addedLatency(direct: GroupReport, entry: GroupReport): List<Comparison> =
    addedPercentiles("first token", direct.firstToken, entry.firstToken) +
        addedPercentiles("between tokens", direct.betweenTokens, entry.betweenTokens)

private fun addedPercentiles(quantity: String, direct: Percentiles, entry: Percentiles): List<Comparison> = listOf(
    Comparison("$quantity: added p50", entry.p50 - direct.p50, "ms"),
    Comparison("$quantity: added p95", entry.p95 - direct.p95, "ms"),
    Comparison("$quantity: added p99", entry.p99 - direct.p99, "ms"),
)

/** Formats the report as a human-readable table. */
internal fun table(report: BenchReport): String = buildString {
    appendLine("scenario ${report.scenario}, seed ${report.seed}, ${report.calls} calls")
    for (group in report.groups) {
        appendLine()
        appendLine("group ${group.group}: ${group.offered} offered, ${"%.1f".format(group.goodput)} complete/s")
        appendLine("  outcomes: " + group.outcomes.entries.joinToString { "${it.key} ${it.value}" })
        appendLine("  %-16s %9s %9s %9s %9s %9s".format("milliseconds", "count", "p50", "p95", "p99", "max"))
        appendLine(tableRow("first token", group.firstToken))
        appendLine(tableRow("between tokens", group.betweenTokens))
        appendLine(tableRow("total", group.total))
    }
    if (report.comparisons.isNotEmpty()) appendLine()
    for (comparison in report.comparisons) {
        appendLine("%-36s %9.3f %s".format(comparison.name, comparison.value, comparison.unit))
    }
}

private fun tableRow(name: String, times: Percentiles): String =
    "  %-16s %9d %9.2f %9.2f %9.2f %9.2f".format(name, times.count, times.p50, times.p95, times.p99, times.max)
