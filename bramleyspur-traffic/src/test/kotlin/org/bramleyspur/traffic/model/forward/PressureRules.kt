/*
 * Admission rules that the load model compares: first come first served, and admission under pressure.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.firstEventMs
import org.bramleyspur.traffic.pressure.PoolPressure
import org.bramleyspur.traffic.pressure.Prediction
import org.bramleyspur.traffic.pressure.PressureDecision
import org.bramleyspur.traffic.pressure.PressureRequest
import org.bramleyspur.traffic.pressure.ReturnRamp
import org.bramleyspur.traffic.pressure.sizeClass
import java.util.Random

/** Sends each request to the server that is predicted to answer first, while its deadline allows it. */
internal val firstComeRules = Rules("first come", ::ownView, earliest) { firstComeAdmission() }

internal fun firstComeAdmission(): AdmissionRule = { entry, request, chosen, nowMs ->
    val remainingMs = request.arrivedMs + entry.scenario.deadlineMs - nowMs
    val possible = chosen != null && predict(entry, request, chosen).expectedMs <= remainingMs
    if (possible) Admission.Start(request.kind.priority) else Admission.Refuse(RETRY_AFTER_MS)
}

/** Admission under pressure at one entry, with the state that it keeps. */
internal class PressureRule(seed: Long, private val knowsOthers: Boolean) : StreamObserver() {
    private val random = Random(seed)
    private var pool = PoolPressure()
    private var ramp = ReturnRamp()

    /** Records the end of an outage. */
    fun onReturn(nowMs: Double) {
        pool = pool.onReturn(nowMs.toLong())
        ramp = ramp.onReturn(nowMs.toLong())
    }

    /** Decides on [request], with what [PoolPressure] returns for it. */
    fun admit(entry: ModelEntry, request: ModelRequest, chosen: Candidate?, nowMs: Double): Admission {
        val now = nowMs.toLong()
        val input = inputOf(request, entry.scenario.deadlineMs, nowMs)
        val servers = entry.loads.size
        val prediction = chosen?.let { predict(entry, request, it) }?.let {
            val waitMs = maxOf(it.waitMs, ramp.waitMs(servers, entry.entries, now))
            Prediction(waitMs + it.promptMs, waitMs, knowsOthers && knowsOthers(entry, nowMs))
        }
        if (nowMs == request.arrivedMs) pool = pool.onAsked(input, prediction, now)
        return when (val decision = pool.decide(input, prediction, true, random.nextDouble(), now)) {
            is PressureDecision.Start -> {
                pool = pool.onStarted(input, now)
                ramp = ramp.onStarted(prediction?.promptMs ?: 0.0, servers, entry.entries, now)
                Admission.Start(request.kind.priority)
            }
            is PressureDecision.Wait -> Admission.Wait(decision.delayMs.toDouble())
            is PressureDecision.Refuse -> {
                pool = pool.onRefused(now)
                Admission.Refuse(decision.retryAfterMs.toDouble())
            }
        }
    }

    override fun onFirstEvent(request: ModelRequest, tookMs: Long, nowMs: Double) {
        pool = pool.onFirstEvent(inputOf(request, 0.0, nowMs), tookMs, nowMs.toLong())
    }

    override fun onEnded(request: ModelRequest) {
        pool = pool.onEnded()
    }

    private fun inputOf(request: ModelRequest, deadlineMs: Double, nowMs: Double) = PressureRequest(
        route = request.kind.name,
        account = request.account,
        sizeClass = sizeClass(request.kind.promptTokens.toLong(), request.kind.outputTokens.toLong()),
        targetMs = request.kind.targetMs,
        priority = request.kind.priority,
        waitedMs = (nowMs - request.arrivedMs).toLong(),
        remainingMs = (request.arrivedMs + deadlineMs - nowMs).toLong(),
    )
}

/** Admission under pressure with the state of one play; entries know the work of the others if it is [shared]. */
internal fun pressureRules(shared: Boolean = false): Rules {
    val byEntry = HashMap<Int, PressureRule>()
    fun rule(entry: Int) = byEntry.getOrPut(entry) { PressureRule(entry.toLong(), shared) }
    val view: ViewRule = if (shared) ::sharedView else ::ownView
    return Rules("under pressure", view, if (shared) byRoom else earliest, { rule(it) }) { rule(it)::admit }
}

/** [inner] after an outage in [outage], during which requests wait at the entry and are refused after 1.5 s. */
internal fun duringOutage(outage: ClosedFloatingPointRange<Double>, inner: Rules): Rules {
    val admission: (Int) -> AdmissionRule = { index ->
        val rule = inner.observer(index) as? PressureRule
        val admit = inner.admission(index)
        var returned = false
        val decide: AdmissionRule = { entry, request, chosen, nowMs ->
            val waitedMs = nowMs - request.arrivedMs
            if (nowMs in outage) {
                val tickMs = POLL_INTERVAL_MS - nowMs % POLL_INTERVAL_MS
                val order = if (rule != null) waitedMs * ORDER_MS else 0.0
                if (waitedMs < MAX_WAIT_MS) Admission.Wait(tickMs + order) else Admission.Refuse(RETRY_AFTER_MS)
            } else {
                if (nowMs > outage.endInclusive && !returned) {
                    returned = true
                    rule?.onReturn(nowMs)
                }
                admit(entry, request, chosen, nowMs)
            }
        }
        decide
    }
    return Rules(inner.name, inner.view, inner.choice, inner.observer, admission)
}

private fun predict(entry: ModelEntry, request: ModelRequest, chosen: Candidate): Prediction {
    val costs = entry.scenario.costs
    val expectedMs = firstEventMs(chosen, request.kind.promptTokens.toLong(), costs)
    return Prediction(expectedMs, expectedMs - chosen.timeFactor * request.kind.promptTokens / costs.prefillTokensPerMs)
}

private const val RETRY_AFTER_MS = 300.0
private const val MAX_WAIT_MS = 1_500.0
private const val POLL_INTERVAL_MS = 40.0

/** Orders requests that are due in the same interval by their age. */
private const val ORDER_MS = 0.000_1
