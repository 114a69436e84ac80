/*
 * Forwards one request to backend servers: sends its attempts and ends the response. The attempt rules decide what
 * follows a failed or a silent attempt.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.traffic.cold.waitsForAllowance
import org.bramleyspur.traffic.forward.AttemptConditions
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.OtherAttempts
import org.bramleyspur.traffic.forward.RequestAttempts
import org.bramleyspur.traffic.outage.ReleaseDecision
import org.bramleyspur.traffic.pressure.PressureDecision
import org.bramleyspur.traffic.quarantine.PartVerdict

/** An admitted request that is being forwarded. Confined to the traffic thread. */
internal class ForwardedRequest(
    private val context: ForwardContext,
    private val request: AdmittedRequest,
    callerResponse: CallerResponse,
    private val faultHandler: (Throwable) -> Unit,
    private val onDone: () -> Unit,
) : AttemptOwner {
    private val route = request.route
    private val budget = context.budget(request.service.name)
    private val response = DeliveredResponse(context, request, callerResponse)
    private val log = RequestLog(context, request)
    private val release = StreamRelease(context, request, log)
    private val selection = BackendSelection(context, request, log, release, responseStarted = { response.started })
    private var deadlineTimer: TimerHandle? = null
    private val wait = RequestWait { cause -> guarded(faultHandler) { sendDue(cause) } }
    private var attempts = RequestAttempts<Attempt>()
    private var lastEnd = EndedAttempt(AttemptEnd.NoCandidate, "", null)
    private var done = false

    private var predictedMs: Double? = null
    private var deliveringBackend: String? = null

    /** Sets the deadline and starts the first attempt. */
    fun start() {
        budget.onRequest(context.timers.nowMs())
        context.demand?.onRequest(request.service, request.model, request.tokens)
        if (request.streaming) context.onStreamRequest(request)
        deadlineTimer = context.timers.after(maxOf(0, request.remainingMs())) { guarded(faultHandler) { onDeadline() } }
        sendDue(AttemptCause.FIRST)
    }

    /** Cancels the attempts after the caller disconnected; closing their connections tells the backend servers. */
    fun onCallerDisconnected() {
        if (done) return
        end("caller-left", "")
    }

    /** How far the request has come. */
    val stage: String
        get() = when {
            response.started -> "responding"
            attempts.mayHaveBegun -> "running"
            else -> "waiting"
        }

    /** Ends the request before its deadline, with the answer that its stage allows. */
    fun endEarly(detail: String) {
        if (done) return
        if (attempts.mayHaveBegun || response.started) {
            fail(STATUS_OUTCOME_UNKNOWN, "may-have-run", detail)
        } else {
            refuse(AttemptEnd.NoCandidate, detail)
        }
    }

    /** Size of the body, which is kept for further attempts. */
    val bodyBytes: Int get() = request.caller.body.size

    /** Breaks the response off, of which [unsentBytes] wait for a caller that has taken nothing for [stalledMs]. */
    fun endForStalledCaller(stalledMs: Long, unsentBytes: Long) {
        if (done) return
        context.metrics.onStalledCaller(route.name)
        fail(STATUS_OUTCOME_UNKNOWN, "caller-stalled", "took nothing for $stalledMs ms, $unsentBytes bytes unsent")
    }

    override fun onFault(cause: Throwable) = faultHandler(cause)

    /** Pauses reading from the backend servers while the caller's connection accepts no more data. */
    fun onCallerWritable(writable: Boolean) = attempts.running.forEach { it.pauseReading(!writable) }

    /** Sends the attempt that is due, if one is and its rules still allow it. */
    private fun sendDue(cause: AttemptCause) {
        val step = attempts.nextStep(conditions()) ?: return
        if (step is NextStep.SendAgain) send(step, cause) else apply(step)
    }

    private fun send(step: NextStep.SendAgain, cause: AttemptCause) {
        if (isKeptFromEngines()) return
        val choice = if (step.toSuperseded) selection.takeSuperseded() else selection.chooseUntried()
        if (choice == null && !step.toSuperseded && isHeld()) return
        when (val decision = selection.decide(choice, attempts.isUntouched)) {
            null -> sendWithoutCompeting(choice, step, cause)
            is PressureDecision.Wait -> wait.begin(AttemptCause.ROOM) { selection.awaitRoom(decision.delayMs, it) }
            is PressureDecision.Refuse ->
                onNotSendable(AttemptEnd.Pressed(decision.retryAfterMs), "requests compete: ${decision.reason}")
            is PressureDecision.Start -> choice?.let { start(it, step.countsAgainstBudget, cause) }
        }
    }

    /** Sends a request on which its competitors have no effect. */
    private fun sendWithoutCompeting(choice: BackendChoice?, step: NextStep.SendAgain, cause: AttemptCause) {
        val untouched = attempts.isUntouched
        val decision = if (untouched) release.decide(choice) else null
        when {
            choice == null && selection.waits(untouched) -> wait.begin(AttemptCause.BACKEND, selection::awaitBackend)
            choice == null -> onNotSendable(selection.endWithoutServer(), selection.noServerText())
            decision is ReleaseDecision.Hold -> wait.begin(AttemptCause.RETURN, release::hold)
            decision is ReleaseDecision.Refuse ->
                onNotSendable(AttemptEnd.Pressed(decision.retryAfterMs), "no room for it after an outage")
            !selection.isSoonEnough(choice) -> onNotSendable(AttemptEnd.NoCandidate, selection.tooLateText(choice))
            else -> start(choice, step.countsAgainstBudget, cause)
        }
    }

    /** Handles a request that is kept from cold backend servers only: it waits shortly or is refused. */
    private fun isHeld(): Boolean {
        val (backend, held) = selection.firstHeld() ?: return false
        val waitMs = maxOf(1, held.untilMs - context.timers.nowMs())
        val waits = waitsForAllowance(request.elapsedMs() + waitMs, request.remainingMs(), route.targetLatencyMs)
        context.metrics.onColdHeld(route.name, held.reason.name, waits)
        log.onColdHeld(backend, held.reason, waitMs, waits)
        if (waits) {
            wait.begin(AttemptCause.COLD) { context.timers.after(waitMs, it) }
        } else {
            onNotSendable(AttemptEnd.BackingOff(waitMs), "all backend servers are cold: ${held.reason.text}")
        }
        return true
    }

    private fun start(choice: BackendChoice, countsAgainstBudget: Boolean, cause: AttemptCause) {
        wait.end()
        release.onSent()
        // Built before the attempt counts as sent, since it may throw.
        val head = request.head(choice.load.id, response.lastEventId)
        val repeated = selection.wasAsked(choice)
        val attempt = Attempt(context, request, choice, repeated, response, this)
        val others = attempts.running
        val isFirst = attempts.isUntouched
        attempts = attempts.withBegun(attempt, repeated, conditions())
        if (countsAgainstBudget) {
            budget.onRetry(context.timers.nowMs())
            context.metrics.onRetry(request.service.name)
        }
        selection.onSent(choice)
        predictedMs = choice.expectedMs
        if (!isFirst) log.onRepeat(cause, choice.load.id, response.lastEventId, attempts.sends, others)
        attempt.start(head)
    }

    /** Ends the request if a part of its prompt crashes engines, or may have crashed one under this request. */
    private fun isKeptFromEngines(): Boolean {
        if (attempts.wasSent) {
            if (context.promptParts.allowsRetry(request.parts)) return false
            context.metrics.onPartBlocked(route.name, sentBefore = true)
            onNotSendable(
                AttemptEnd.PartBlocked(null),
                "a part of its prompt may have crashed ${selection.lastTried}",
            )
            return true
        }
        val verdict = context.promptParts.admit(request.parts) as? PartVerdict.Blocked ?: return false
        context.metrics.onPartBlocked(route.name, sentBefore = false)
        onNotSendable(AttemptEnd.PartBlocked(verdict.retryAfterMs), "its prompt part ${verdict.part} crashes engines")
        return true
    }

    override fun onData(attempt: Attempt) {
        attempts = attempts.withData(attempt)
    }

    override fun onSilent(attempt: Attempt, silentMs: Long) {
        attempts = attempts.withSilent(attempt)
        if (!attempts.maySendBesideSilent(conditions())) return
        if (!context.promptParts.allowsRetry(request.parts)) return
        val choice = selection.chooseUntried()?.takeIf { selection.isSound(it) && selection.isSoonEnough(it) } ?: return
        attempts.running.forEach { it.markUnresponsive() }
        context.metrics.onAttemptBeside(request.service.name)
        log.onBeside(attempts.running, silentMs, choice.load.id, response.lastEventId, attempts.sends + 1)
        start(choice, countsAgainstBudget = true, AttemptCause.SILENCE)
    }

    override fun takeOver(attempt: Attempt) {
        deliveringBackend = attempt.backendId
        selection.onFirstEvent()
        wait.end()
        val superseded = attempts.running.filter { it != attempt }
        attempts = attempts.withTakeOver(attempt)
        if (superseded.isEmpty()) return
        superseded.forEach { it.cancel() }
        selection.onSuperseded(superseded.map { it.backendId })
        context.metrics.onTakeOver(request.service.name)
        log.onTakeOver(attempt, superseded, response.lastEventId)
    }

    override fun hasOthers(attempt: Attempt): Boolean = attempts.besides(attempt) != OtherAttempts.NONE

    override fun stepAfter(attempt: Attempt, end: AttemptEnd): NextStep? =
        attempts.withEnded(attempt, attempt.repeated, end).nextStep(conditions())

    private fun conditions() = AttemptConditions(
        idempotent = route.idempotent,
        resumable = request.streaming && route.resumable && (response.isStream || !response.started),
        maxAttempts = route.maxAttempts,
        supersededServers = selection.supersededServers,
        responseStarted = response.started,
        remainingMs = request.remainingMs(),
        budgetLeft = budget.allows(context.timers.nowMs()),
    )

    override fun onEnded(attempt: Attempt, end: AttemptEnd, detail: String) {
        if (done) return
        if (end is AttemptEnd.Rejected) selection.onRejected()
        attempts = attempts.withEnded(attempt, attempt.repeated, end)
        onEnd(EndedAttempt(end, detail, attempt.backendId))
    }

    /** Handles that a further attempt cannot be sent. */
    private fun onNotSendable(end: AttemptEnd, detail: String) {
        attempts = attempts.withoutServer(end)
        onEnd(EndedAttempt(end, detail, selection.lastTried))
    }

    private fun onEnd(ended: EndedAttempt) {
        wait.end()
        lastEnd = ended
        attempts.nextStep(conditions())?.let(::apply)
    }

    private fun apply(step: NextStep) {
        val (end, detail, backend) = lastEnd
        log.onAttemptEnd(step, end, detail, backend, attempts.sends, attempts.running.size)
        when (step) {
            is NextStep.SendAgain -> send(step, AttemptCause.END)
            NextStep.AwaitRunning -> attempts = attempts.awaitingRunning()
            NextStep.RefuseNotRun -> refuse(end, detail)
            NextStep.FailUnknown -> fail(STATUS_OUTCOME_UNKNOWN, "may-have-run", detail)
            NextStep.PassFailure -> fail(STATUS_OUTCOME_UNKNOWN, "ran-and-failed", detail)
            NextStep.BreakOff -> fail(STATUS_OUTCOME_UNKNOWN, "broken-off", detail)
        }
    }

    private fun refuse(end: AttemptEnd, detail: String) {
        val knownRetryAfterMs = when (end) {
            is AttemptEnd.Rejected -> end.retryAfterMs
            is AttemptEnd.PartBlocked -> end.retryAfterMs
            is AttemptEnd.BackingOff -> end.retryAfterMs
            is AttemptEnd.Pressed -> end.retryAfterMs
            else -> null
        }
        context.demand?.onRefused(request.service, request.model)
        response.refuse(STATUS_NOT_RUN, "not run: $detail", knownRetryAfterMs ?: selection.retryAfterMs())
        end("not-run", detail)
    }

    private fun fail(status: Int, outcome: String, detail: String) {
        response.refuse(status, "$outcome: $detail")
        end(outcome, detail)
    }

    private fun onDeadline() {
        if (done) return
        if (attempts.mayHaveBegun || response.started) {
            fail(STATUS_TIMEOUT, "timed-out", "no complete answer in time")
        } else {
            refuse(AttemptEnd.NoCandidate, "no backend server took it in time")
        }
    }

    override fun onComplete(attempt: Attempt, status: Int) {
        attempts = attempts.withCompleted(attempt)
        response.finish()
        end(if (status < STATUS_SERVER_ERROR) "served" else "ran-and-failed", "status $status")
    }

    private fun end(outcome: String, detail: String) {
        done = true
        wait.end()
        selection.onEnd()
        release.onEnd()
        deadlineTimer?.cancel()
        val running = attempts.running
        attempts = attempts.ended()
        running.forEach { it.cancel() }
        context.metrics.onRequestEnd(route.name, outcome)
        val backend = deliveringBackend ?: selection.lastTried
        log.onEnd(outcome, backend, attempts.sends, response, predictedMs, detail)
        onDone()
    }

    /** Why the last attempt ended at [backend], or why none could be sent. */
    private data class EndedAttempt(val end: AttemptEnd, val detail: String, val backend: String?)

    private companion object {
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_OUTCOME_UNKNOWN = 502
        const val STATUS_NOT_RUN = 503
        const val STATUS_TIMEOUT = 504
    }
}
