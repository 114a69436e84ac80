/*
 * What the load model plays: classes of requests, how they arrive, and the rules by which entries treat them.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.traffic.forward.Candidate
import java.util.random.RandomGenerator

/**
 * A kind of request.
 *
 * @property share share of the arrivals
 * @property targetMs expected time to the first event in milliseconds
 * @property priority 0 is the most urgent
 * @property accounts share of the class's arrivals by client account
 */
internal class RequestClass(
    val name: String,
    val share: Double,
    val targetMs: Long,
    val priority: Int,
    val promptTokens: Int,
    val outputTokens: Int,
    val accounts: Map<String, Double> = mapOf("all" to 1.0),
)

/** Arrivals are multiplied by [factor] from [fromMs] until [toMs]; those of [account] only if it is not null. */
internal class Burst(val fromMs: Double, val toMs: Double, val factor: Double, val account: String? = null)

/**
 * A load pattern.
 *
 * @property entryShares share of the arrivals by entry
 * @property headFactors factor on the times of each backend server
 * @property silentHeads times in milliseconds in which a backend server makes no progress, by its index
 * @property ratePerS arrivals of all entries outside bursts
 * @property controlSilent times in milliseconds in which control receives and sends nothing
 * @property deadlineMs time in milliseconds after which a caller gives up
 * @property ordersByUrgency whether engines admit the most urgent requests first
 * @property countsFromFirstTry whether the target of a caller that returns counts from its first try
 * @property maxReturns how often a refused caller returns
 * @property returnDelayMs when it returns after a refusal with a time to return, in milliseconds
 */
internal class Scenario(
    val name: String,
    val costs: EngineCosts,
    val classes: List<RequestClass>,
    val entryShares: List<Double>,
    val headFactors: List<Double>,
    val ratePerS: Double,
    val silentHeads: Map<Int, ClosedFloatingPointRange<Double>> = emptyMap(),
    val durationMs: Double = 20_000.0,
    val bursts: List<Burst> = emptyList(),
    val controlSilent: List<ClosedFloatingPointRange<Double>> = emptyList(),
    val queueLimit: Int = costs.slots,
    val reportLagMs: Double = 200.0,
    val deadlineMs: Double = 6_000.0,
    val ordersByUrgency: Boolean = false,
    val countsFromFirstTry: Boolean = false,
    val maxReturns: Int = 3,
    val returnDelayMs: (retryAfterMs: Double, RandomGenerator) -> Double = { retryAfterMs, _ -> retryAfterMs },
)

/** One try of a caller; [tries] counts the ones before it, its target counts from [firstArrivedMs]. */
internal class ModelRequest(
    val kind: RequestClass,
    val account: String,
    val arrivedMs: Double,
    val firstArrivedMs: Double,
    val tries: Int,
)

/** What an entry does with a request for which [Candidate] was chosen. */
internal sealed interface Admission {
    /** Sends the request with an [urgency]; engines admit the lowest first. */
    data class Start(val urgency: Int) : Admission

    /** Asks the rules again after [delayMs]. */
    data class Wait(val delayMs: Double) : Admission

    data class Refuse(val retryAfterMs: Double) : Admission
}

/** The candidates as an entry sees them at a time in milliseconds. */
internal typealias ViewRule = (ModelEntry, nowMs: Double) -> List<Candidate>

/** Chooses among candidates by a random source and the predicted cost in milliseconds. */
internal typealias ChoiceRule = (
    ModelEntry,
    ModelRequest,
    List<Candidate>,
    nowMs: Double,
    RandomGenerator,
    cost: (Candidate) -> Double,
) -> Candidate?

/** Decides on a request at an entry; the candidate is null if every backend server was tried. */
internal typealias AdmissionRule = (ModelEntry, ModelRequest, Candidate?, nowMs: Double) -> Admission

/** The rules of all entries; [admission] is built for each entry, so that a rule may keep state. */
internal class Rules(
    val name: String,
    val view: ViewRule,
    val choice: ChoiceRule,
    val observer: (entry: Int) -> StreamObserver = { StreamObserver() },
    val admission: (entry: Int) -> AdmissionRule,
)

/** What an entry learns of the requests that it has sent. */
internal open class StreamObserver {
    /** The first event of [request] came after [tookMs], or was due by its target. */
    open fun onFirstEvent(request: ModelRequest, tookMs: Long, nowMs: Double) = Unit

    /** [request] ended. */
    open fun onEnded(request: ModelRequest) = Unit
}
