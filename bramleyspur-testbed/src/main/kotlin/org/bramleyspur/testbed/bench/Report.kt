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

/** The report of [scenario] from its recorders. */
internal fun report(
    scenario: Scenario,
    seed: Long,
    calls: List<PlannedCall>,
    recorders: Map<String, GroupRecorder>,
): BenchReport {
    val seconds = calls.map { it.group }.distinct().associateWith { secondsOf(scenario, it) }
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

/** All phases but the warm-up are of equal length, and a group belongs to one phase. */
private fun secondsOf(scenario: Scenario, group: String): Double =
    (scenario.phases.firstOrNull { it.group == group } ?: scenario.phases.last()).seconds

private fun comparisons(name: ScenarioName, groups: Map<String, GroupReport>): List<Comparison> = when (name) {
    ScenarioName.OVERHEAD -> compare(groups["direct"], groups["entry"], ::added)
    ScenarioName.OVERLOAD ->
        compare(groups["capacity"], groups["overload"]) { base, load ->
            listOf(Comparison("goodput at overload / at capacity", load.goodput / base.goodput, "ratio"))
        }
    ScenarioName.LARGE_ACCOUNT ->
        compare(groups["small-alone"], groups["small-with-large"]) { base, load ->
            listOf(
                ratio("first token p95 with large / alone", base.firstToken, load.firstToken),
                ratio("total p95 with large / alone", base.total, load.total),
            )
        }
    else -> emptyList()
}

private fun compare(
    base: GroupReport?,
    load: GroupReport?,
    figures: (GroupReport, GroupReport) -> List<Comparison>,
): List<Comparison> = if (base == null || load == null) emptyList() else figures(base, load)

private fun ratio(name: String, base: Percentiles, load: Percentiles) = Comparison(name, load.p95 / base.p95, "ratio")

private fun added(direct: GroupReport, entry: GroupReport): List<Comparison> =
    addedTimes("first token", direct.firstToken, entry.firstToken) +
        addedTimes("between tokens", direct.betweenTokens, entry.betweenTokens)

private fun addedTimes(what: String, direct: Percentiles, entry: Percentiles): List<Comparison> = listOf(
    Comparison("$what: added p50", entry.p50 - direct.p50, "ms"),
    Comparison("$what: added p95", entry.p95 - direct.p95, "ms"),
    Comparison("$what: added p99", entry.p99 - direct.p99, "ms"),
)

/** The report as a table for people. */
internal fun table(report: BenchReport): String = buildString {
    appendLine("scenario ${report.scenario}, seed ${report.seed}, ${report.calls} calls")
    for (group in report.groups) {
        appendLine()
        appendLine("group ${group.group}: ${group.offered} offered, ${"%.1f".format(group.goodput)} complete/s")
        appendLine("  outcomes: " + group.outcomes.entries.joinToString { "${it.key} ${it.value}" })
        appendLine("  %-16s %9s %9s %9s %9s %9s".format("milliseconds", "count", "p50", "p95", "p99", "max"))
        appendLine(row("first token", group.firstToken))
        appendLine(row("between tokens", group.betweenTokens))
        appendLine(row("total", group.total))
    }
    if (report.comparisons.isNotEmpty()) appendLine()
    for (comparison in report.comparisons) {
        appendLine("%-36s %9.3f %s".format(comparison.name, comparison.value, comparison.unit))
    }
}

private fun row(name: String, times: Percentiles): String =
    "  %-16s %9d %9.2f %9.2f %9.2f %9.2f".format(name, times.count, times.p50, times.p95, times.p99, times.max)
