/*
 * The shares of the work that the targets of groups are computed from: those of the configuration at first, then the
 * measured ones, as far as another number of groups earns more than it costs to reform them.
 *
 * The gain of a change is the work beyond what the engines of a model can do in time, which it saves. A difference is
 * expected to last as long as it has lasted already, so a change is made once the gain over that time, less the time
 * until the weights are loaded, exceeds the cost: the engines of the groups that are reformed serve no requests until
 * their requests have ended and they have joined the new groups. Weights are loaded while the engines still serve.
 */
package org.bramleyspur.control.demand

import org.bramleyspur.control.group.DomainEngines
import org.bramleyspur.control.group.GroupMove
import org.bramleyspur.control.group.wantedGroups
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec

/** Number of groups by model. */
private typealias GroupCounts = Map<String, Int>

/**
 * State of the decision for one service, held by the leader; a new leader begins with null.
 *
 * @property models the models of the configuration that [shares] refer to
 * @property shares the shares in use, by model; they add up to 1
 * @property move the move of groups that is under way or allowed
 * @property gainSinceMs since when a change has earned something; null if it does not
 * @property gained what the change would have earned since then, in engine milliseconds
 * @property gainingModels the models that would get groups
 */
data class ShareState(
    val models: List<ModelSpec>,
    val shares: Map<String, Double>,
    val move: GroupMove? = null,
    val decidedAtMs: Long = 0,
    val gainSinceMs: Long? = null,
    val gained: Double = 0.0,
    val gainingModels: Set<String> = emptySet(),
)

/**
 * Input of a decision.
 *
 * @property engines the usable engines of the service by domain
 * @property groups number of groups that serve or form, by model
 */
class ShareInput(
    val nowMs: Long,
    val service: DocumentService,
    val costs: EngineCosts,
    val engines: Map<String, DomainEngines>,
    val groups: Map<String, Int>,
    val work: MeasuredWork,
)

/** A change of the shares in use, with the [gained] and [cost] in engine milliseconds that were weighed. */
class ShareChange(val measured: Map<String, Double>, val gained: Double, val cost: Double, val heldMs: Long)

/** The next state, and the change if the shares in use have changed. */
class ShareStep(val state: ShareState, val change: ShareChange? = null)

/** The work of the models of [service] as [meter] has measured it. */
fun measuredWork(meter: DemandMeter, service: DocumentService, costs: EngineCosts, nowMs: Long): MeasuredWork =
    meter.work(service.name, nowMs) { name, rate ->
        service.models.firstOrNull { it.name == name }?.let { engineWork(rate, it, costs) } ?: 0.0
    }

/** Weighs a change of the shares in use. */
fun decideShares(before: ShareState?, input: ShareInput): ShareStep = ShareDecision(input).decide(before)

private class ShareDecision(private val input: ShareInput) {
    private val models = input.service.models
    private val configured = normalized(models.associate { it.name to it.workShare })
    private val measured = blended()

    /** The measured shares, or between them and the configured ones while few requests have been measured. */
    private fun blended(): Map<String, Double> {
        val evidence = input.work.requests / (input.work.requests + PRIOR_REQUESTS)
        val work = normalized(models.associate { it.name to (input.work.byModel[it.name] ?: 0.0) })
        val shares = models.associate {
            it.name to evidence * work.getValue(it.name) + (1 - evidence) * configured.getValue(it.name)
        }
        return normalized(shares.mapValues { maxOf(it.value, MIN_SHARE) })
    }

    private fun normalized(shares: Map<String, Double>): Map<String, Double> {
        val sum = shares.values.sum()
        return shares.mapValues { if (sum > 0) it.value / sum else 1.0 / shares.size }
    }

    private fun targets(shares: Map<String, Double>): GroupCounts {
        val wanted = wantedGroups(input.engines, withShares(models, shares))
        return models.associate { model -> model.name to wanted.values.sumOf { it[model.name] ?: 0 } }
    }

    fun decide(before: ShareState?): ShareStep {
        if (before == null || before.models != models) return ShareStep(initial())
        val elapsedMs = (input.nowMs - before.decidedAtMs).coerceIn(0, MAX_INTERVAL_MS)
        val idle = before.copy(decidedAtMs = input.nowMs, gainSinceMs = null, gained = 0.0, gainingModels = emptySet())
        val used = targets(before.shares)
        // A further change is weighed when the groups of the last one have formed.
        if (before.move != null && isUnderWay(before.move, used)) return ShareStep(idle)
        // Spares may serve as further groups; a lost group will be formed again.
        val current = used.mapValues { (model, groups) -> maxOf(groups, input.groups[model] ?: 0) }
        val (shares, wanted) = nextTargets(before.shares, current) ?: return ShareStep(idle)
        val gain = excessWork(current) - excessWork(wanted)
        val gaining = models.map { it.name }.filter { wanted.getValue(it) > current.getValue(it) }.toSet()
        val continues = before.gainSinceMs != null && before.gainingModels == gaining
        val next = idle.copy(
            gainSinceMs = if (continues) before.gainSinceMs else input.nowMs,
            gained = if (continues) before.gained + gain * elapsedMs else 0.0,
            gainingModels = gaining,
        )
        return weigh(next, shares, current, wanted)
    }

    /**
     * The shares with which a leader begins: those of the configuration or the measured ones, whichever wants the
     * groups that exist.
     */
    private fun initial(): ShareState {
        val shares = listOf(configured, measured).minBy { shares ->
            targets(shares).entries.sumOf { (model, count) -> kotlin.math.abs(count - (input.groups[model] ?: 0)) }
        }
        return ShareState(models, shares, decidedAtMs = input.nowMs)
    }

    private fun isUnderWay(move: GroupMove, wanted: GroupCounts): Boolean =
        input.nowMs < move.untilMs && move.to.any { (input.groups[it] ?: 0) < wanted.getValue(it) }

    /** The first targets on the way from the shares in use to the measured ones that are better than [current]. */
    private fun nextTargets(used: Map<String, Double>, current: GroupCounts): Pair<Map<String, Double>, GroupCounts>? =
        (1..STEPS).asSequence()
            .map { step ->
                used.mapValues { (model, share) -> share + (measured.getValue(model) - share) * step / STEPS }
            }
            .map { it to targets(it) }
            .firstOrNull { (_, counts) -> counts.values.none { it == 0 } && excessWork(counts) < excessWork(current) }

    /** Engines that the work of the models lacks if they have [groups]. */
    private fun excessWork(groups: GroupCounts): Double {
        val total = input.work.byModel.values.sum()
        return models.sumOf {
            val engines = groups.getValue(it.name) * it.groupSize
            maxOf(0.0, total * measured.getValue(it.name) - engines * TARGET_USE)
        }
    }

    private fun weigh(state: ShareState, shares: Map<String, Double>, current: GroupCounts, wanted: GroupCounts) =
        move(current, wanted).let { move ->
            val heldMs = input.nowMs - (state.gainSinceMs ?: input.nowMs)
            val cost = reformCost(move, current, wanted)
            val loadMs = loadMs(move, current, wanted)
            val earned = if (heldMs == 0L) 0.0 else state.gained * (heldMs - loadMs) / heldMs
            if (heldMs < MIN_HELD_MS || earned <= cost) {
                ShareStep(state)
            } else {
                val next =
                    ShareState(models, shares, move.copy(untilMs = input.nowMs + loadMs + SETTLING_MS), input.nowMs)
                ShareStep(next, ShareChange(measured, earned, cost, heldMs))
            }
        }

    private fun move(current: GroupCounts, wanted: GroupCounts): GroupMove = GroupMove(
        from = models.map { it.name }.filter { wanted.getValue(it) < current.getValue(it) }.toSet(),
        to = models.map { it.name }.filter { wanted.getValue(it) > current.getValue(it) }.toSet(),
        untilMs = input.nowMs,
    )

    /**
     * Engine milliseconds in which the engines that change their model serve no requests, and a part of those in which
     * spares load weights.
     */
    private fun reformCost(move: GroupMove, current: GroupCounts, wanted: GroupCounts): Double {
        val joinMs = models.filter { it.name in move.to }.maxOfOrNull { it.stagedLoadMs } ?: 0L
        val closing = models.filter { it.name in move.from }.sumOf {
            val engines = (current.getValue(it.name) - wanted.getValue(it.name)) * it.groupSize
            engines * (responseMs(it, input.costs) + joinMs + FORMING_MS)
        }
        val loading = models.filter { it.name in move.to }.sumOf {
            (wanted.getValue(it.name) - current.getValue(it.name)) * it.groupSize * it.loadMs * SPARE_NEED
        }
        return closing + loading
    }

    /** Time in milliseconds until the engines have the weights for the new groups. */
    private fun loadMs(move: GroupMove, current: GroupCounts, wanted: GroupCounts): Long =
        models.filter { it.name in move.to }.sumOf {
            val engines = (wanted.getValue(it.name) - current.getValue(it.name)) * it.groupSize
            (engines * MS_PER_SECOND / input.costs.loadsPerSecond).toLong()
        } + (models.filter { it.name in move.to }.maxOfOrNull { it.loadMs } ?: 0L)

    private companion object {
        /** Number of requests that count as much as the configured shares. */
        const val PRIOR_REQUESTS = 100.0

        /** A model that nobody asks for keeps a part, so that its one group stays. */
        const val MIN_SHARE = 0.02

        /** Steps from the shares in use to the measured ones; a change moves as few groups as possible. */
        const val STEPS = 8

        /** Use of engines above which requests wait too long. */
        const val TARGET_USE = 0.8
        const val MIN_HELD_MS = 4_000L

        /** Part of the time in which a spare replaces a member that is lost. */
        const val SPARE_NEED = 0.1

        /** Orders, announcements and the first requests of a new group. */
        const val FORMING_MS = 1_000L

        /** Time after the loads for a group to close and another one to open. */
        const val SETTLING_MS = 12_000L

        /** A leader that was late counts no gain for the time in which it measured nothing. */
        const val MAX_INTERVAL_MS = 2_000L
        const val MS_PER_SECOND = 1_000.0
    }
}

/** [models] with the [shares] in use. */
internal fun withShares(models: List<ModelSpec>, shares: Map<String, Double>): List<ModelSpec> =
    models.map { model -> shares[model.name]?.let { model.copy(workShare = it) } ?: model }
