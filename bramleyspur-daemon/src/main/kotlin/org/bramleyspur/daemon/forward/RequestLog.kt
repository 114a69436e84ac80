package org.bramleyspur.daemon.forward

import org.bramleyspur.traffic.cold.ColdReason
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.pressure.PressureDecision
import java.util.Locale

/** Lines of the decision log about one request. */
internal class RequestLog(private val context: ForwardContext, private val request: AdmittedRequest) {
    /** Another attempt is sent to [backend] beside [silent]; it is number [sends]. */
    fun onBeside(silent: List<Attempt>, silentMs: Long, backend: String, lastEventId: Long?, sends: Int) =
        context.log.write(
            "attempt-beside",
            "request" to request.id,
            "route" to request.route.name,
            "silent" to silent.joinToString(",") { it.backendId },
            "silent_ms" to silentMs,
            "backend" to backend,
            "last_event" to lastEventId,
            "sends" to sends,
            "remaining_ms" to request.remainingMs(),
        )

    /** An attempt begins on [backend] that is not the first one; it is number [sends], beside the [running] ones. */
    fun onRepeat(cause: AttemptCause, backend: String, lastEventId: Long?, sends: Int, running: List<Attempt>) =
        context.log.write(
            "attempt-repeated",
            "request" to request.id,
            "route" to request.route.name,
            "cause" to cause.name,
            "backend" to backend,
            "last_event" to lastEventId,
            "sends" to sends,
            "running" to running.joinToString(",") { it.backendId },
            "ms" to request.elapsedMs(),
        )

    /** The request waits for a backend server of [target], a model or a plain service. */
    fun onWait(target: String) = context.log.write(
        "request-waits",
        "request" to request.id,
        "route" to request.route.name,
        "for" to target,
        "remaining_ms" to request.remainingMs(),
    )

    /** The stream is held after an outage, with [held] others, while [servers] of its pool are known. */
    fun onHeld(servers: Int, held: Int) = context.log.write(
        "request-held",
        "request" to request.id,
        "route" to request.route.name,
        "servers" to servers,
        "held" to held,
        "waited_ms" to request.elapsedMs(),
        "remaining_ms" to request.remainingMs(),
    )

    /** The stream that was held after an outage is sent; [late] if its target has passed or will pass. */
    fun onReleased(late: Boolean) = context.log.write(
        "request-released",
        "request" to request.id,
        "route" to request.route.name,
        "late" to late,
        "waited_ms" to request.elapsedMs(),
        "remaining_ms" to request.remainingMs(),
    )

    /** The request is kept from the cold backend server [backend], and waits if [waits]. */
    fun onColdHeld(backend: String, reason: ColdReason, waitMs: Long, waits: Boolean) = context.log.write(
        "cold-held",
        "request" to request.id,
        "route" to request.route.name,
        "backend" to backend,
        "reason" to reason.name,
        "wait_ms" to waitMs,
        "waits" to waits,
        "remaining_ms" to request.remainingMs(),
    )

    /** Admission under pressure refused the request, or sent it only because its like had been served too seldom. */
    fun onPressure(verdict: PressureVerdict) = context.log.write(
        "request-pressed",
        "request" to request.id,
        "route" to request.route.name,
        "account" to request.account?.name,
        "decision" to ((verdict.decision as? PressureDecision.Refuse)?.reason?.name ?: "FLOOR"),
        "predicted_ms" to verdict.prediction?.expectedMs?.toLong(),
        "server_wait_ms" to verdict.prediction?.waitMs?.toLong(),
        "target_ms" to verdict.request.targetMs,
        "waited_ms" to verdict.request.waitedMs,
        "pressure" to "%.2f".format(Locale.ROOT, verdict.level),
        "limit" to verdict.limit.takeIf { it.isFinite() }?.toLong(),
        "retry_after_ms" to (verdict.decision as? PressureDecision.Refuse)?.retryAfterMs,
    )

    /** [attempt] delivered something new, and the [cancelled] ones end. */
    fun onTakeOver(attempt: Attempt, cancelled: List<Attempt>, lastEventId: Long?) = context.log.write(
        "attempt-took-over",
        "request" to request.id,
        "route" to request.route.name,
        "backend" to attempt.backendId,
        "cancelled" to cancelled.joinToString(",") { it.backendId },
        "last_event" to lastEventId,
        "ms" to request.elapsedMs(),
    )

    /** An attempt ended, or none could be sent, and [step] follows; [running] others are running. */
    fun onAttemptEnd(step: NextStep, end: AttemptEnd, detail: String, backend: String?, sends: Int, running: Int) =
        context.log.write(
            "attempt-ended",
            "request" to request.id,
            "route" to request.route.name,
            "end" to end::class.simpleName,
            "backend" to backend,
            "detail" to detail,
            "sends" to sends,
            "running" to running,
            "remaining_ms" to request.remainingMs(),
            "next" to step::class.simpleName,
        )

    /** The request ended; [response] is what its caller has received. */
    fun onEnd(
        outcome: String,
        backend: String?,
        sends: Int,
        response: DeliveredResponse,
        predictedMs: Double?,
        detail: String,
    ) = context.log.write(
        "request",
        "request" to request.id,
        "route" to request.route.name,
        "account" to request.account?.name,
        "outcome" to outcome,
        "backend" to backend,
        "sends" to sends,
        "first_ms" to response.firstByteMs,
        "predicted_ms" to predictedMs?.toLong(),
        "longest_pause_ms" to response.longestPauseMs,
        "ms" to request.elapsedMs(),
        "config_at_start" to request.configAtStart,
        "config" to context.routes?.version,
        "detail" to detail,
    )
}
