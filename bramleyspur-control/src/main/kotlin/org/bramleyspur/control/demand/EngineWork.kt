package org.bramleyspur.control.demand

import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec

/**
 * The work of requests for [model] at [rate] in engine milliseconds per millisecond: the number of engines, in complete
 * groups with half-full batches, that it keeps busy.
 *
 * A caller that was refused asks again, so that one of two refused requests repeats another.
 */
internal fun engineWork(rate: DemandRate, model: ModelSpec, costs: EngineCosts): Double {
    if (rate.requests <= 0) return 0.0
    val distinct = 1 - REPEATED_REFUSALS * (rate.refused / rate.requests).coerceIn(0.0, 1.0)
    val contextTokens = (rate.promptTokens + rate.outputTokens / 2) / rate.requests
    val busyMs = rate.promptTokens / costs.prefillTokensPerMs + rate.outputTokens * tokenMs(contextTokens, costs)
    return distinct * busyMs * model.timeFactor * model.groupSize
}

/** The part of a step that one of the requests of a half-full batch takes. */
private fun tokenMs(contextTokens: Double, costs: EngineCosts): Double =
    costs.stepMs / halfBatch(costs) + costs.perRequestMs + costs.perThousandContextMs * contextTokens / THOUSAND

/** Time in milliseconds that a mean response takes in a half-full batch. */
internal fun responseMs(model: ModelSpec, costs: EngineCosts): Double =
    costs.meanResponseTokens * (costs.stepMs + costs.perRequestMs * halfBatch(costs)) * model.timeFactor

private fun halfBatch(costs: EngineCosts): Double = maxOf(costs.slots / 2.0, 1.0)

private const val REPEATED_REFUSALS = 0.5
private const val THOUSAND = 1_000.0
