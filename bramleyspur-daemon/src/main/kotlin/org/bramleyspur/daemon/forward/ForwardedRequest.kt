/*
 * Forwards one request to backend servers: sends its attempts and ends the response. The attempt rules decide what
 * follows a failed or a silent attempt.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.traffic.cold.waitsForAllowance
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.OtherAttempts
import org.bramleyspur.traffic.forward.RequestProgress
import org.bramleyspur.traffic.forward.RunningAttempts
import org.bramleyspur.traffic.forward.maySendBesideSilent
import org.bramleyspur.traffic.forward.nextStep
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
    private var running = RunningAttempts<Attempt>()
    private var sends = 0
    private var sentAttempts = 0
    private var unsentAttempts = 0
    private var mayHaveRun = false
    private var done = false

    private var predictedMs: Double? = null
    private var deliveringBackend: String? = null

    /** Sets the deadline and starts the first attempt. */
    fun start() {
        budget.onRequest(context.timers.nowMs())
        context.demand?.onRequest(request.service, request.model, request.tokens)
        if (request.streaming) context.onStreamRequest(request)
        deadlineTimer = context.timers.after(maxOf(0, request.remainingMs())) { guarded(faultHandler) { onDeadline() } }
        send(countsAgainstBudget = false, AttemptCause.FIRST)
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
            mayHaveRun || running.attempts.isNotEmpty() -> "running"
            else -> "waiting"
        }

    /** Ends the request before its deadline, with the answer that its stage allows. */
    fun endEarly(detail: String) {
        if (done) return
        if (mayHaveRun || running.attempts.isNotEmpty() || response.started) {
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
    fun onCallerWritable(writable: Boolean) = running.attempts.forEach { it.pauseReading(!writable) }

    private fun send(countsAgainstBudget: Boolean, cause: AttemptCause, toSuperseded: Boolean = false) {
        if (isKeptFromEngines()) return
        val choice = if (toSuperseded) selection.takeSuperseded() else selection.chooseUntried()
        val nothingSent = sends == 0 && unsentAttempts == 0
        val sendAfter = { wait: AttemptCause ->
            { if (!done) guarded(faultHandler) { send(countsAgainstBudget, wait, toSuperseded) } }
        }
        if (choice == null && !toSuperseded && isHeld(sendAfter(AttemptCause.COLD))) return
        when (val decision = selection.decide(choice, nothingSent)) {
            null -> sendWithoutCompeting(choice, nothingSent, countsAgainstBudget, cause, sendAfter)
            is PressureDecision.Wait -> selection.awaitRoom(decision.delayMs, sendAfter(AttemptCause.ROOM))
            is PressureDecision.Refuse ->
                onNotSendable(AttemptEnd.Pressed(decision.retryAfterMs), "requests compete: ${decision.reason}")
            is PressureDecision.Start -> choice?.let { start(it, countsAgainstBudget, cause) }
        }
    }

    /** Sends a request on which its competitors have no effect. */
    private fun sendWithoutCompeting(
        choice: BackendChoice?,
        nothingSent: Boolean,
        countsAgainstBudget: Boolean,
        cause: AttemptCause,
        sendAfter: (AttemptCause) -> () -> Unit,
    ) {
        val decision = if (nothingSent) release.decide(choice) else null
        when {
            choice == null && selection.waits(nothingSent) -> selection.awaitBackend(sendAfter(AttemptCause.BACKEND))
            choice == null -> onNotSendable(selection.endWithoutServer(), selection.noServerText())
            decision is ReleaseDecision.Hold -> release.hold(sendAfter(AttemptCause.RETURN))
            decision is ReleaseDecision.Refuse ->
                onNotSendable(AttemptEnd.Pressed(decision.retryAfterMs), "no room for it after an outage")
            !selection.isSoonEnough(choice) -> onNotSendable(AttemptEnd.NoCandidate, selection.tooLateText(choice))
            else -> start(choice, countsAgainstBudget, cause)
        }
    }

    /** Handles a request that is kept from cold backend servers only: it waits shortly or is refused. */
    private fun isHeld(sendAgain: () -> Unit): Boolean {
        val (backend, held) = selection.firstHeld() ?: return false
        val waitMs = maxOf(1, held.untilMs - context.timers.nowMs())
        val waits = waitsForAllowance(request.elapsedMs() + waitMs, request.remainingMs(), route.targetLatencyMs)
        context.metrics.onColdHeld(route.name, held.reason.name, waits)
        log.onColdHeld(backend, held.reason, waitMs, waits)
        if (waits) {
            context.timers.after(waitMs, sendAgain)
        } else {
            onNotSendable(AttemptEnd.BackingOff(waitMs), "all backend servers are cold: ${held.reason.text}")
        }
        return true
    }

    private fun start(choice: BackendChoice, countsAgainstBudget: Boolean, cause: AttemptCause) {
        selection.leaveRoom()
        release.onSent()
        // Built before the attempt counts as sent, since it may throw.
        val head = request.head(choice.load.id, response.lastEventId)
        if (countsAgainstBudget) {
            budget.onRetry(context.timers.nowMs())
            context.metrics.onRetry(request.service.name)
        }
        val repeated = !selection.onSent(choice)
        if (!repeated) sentAttempts++
        predictedMs = choice.expectedMs
        sends++
        if (sends + unsentAttempts >
            1
        ) {
            log.onRepeat(cause, choice.load.id, response.lastEventId, sends, running.attempts)
        }
        val attempt = Attempt(context, request, choice, repeated, response, this)
        running = running.withSent(attempt)
        attempt.start(head)
    }

    /** Ends the request if a part of its prompt crashes engines, or may have crashed one under this request. */
    private fun isKeptFromEngines(): Boolean {
        if (sentAttempts > 0) {
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
        running = running.withData(attempt)
    }

    override fun onSilent(attempt: Attempt, silentMs: Long) {
        running = running.withSilent(attempt)
        if (!maySendBesideSilent(progress(without = null), budgetAllows())) return
        if (!context.promptParts.allowsRetry(request.parts)) return
        val choice = selection.chooseUntried()?.takeIf { selection.isSound(it) && selection.isSoonEnough(it) } ?: return
        running.attempts.forEach { it.markUnresponsive() }
        context.metrics.onAttemptBeside(request.service.name)
        log.onBeside(running.attempts, silentMs, choice.load.id, response.lastEventId, sends + 1)
        start(choice, countsAgainstBudget = true, AttemptCause.SILENCE)
    }

    override fun takeOver(attempt: Attempt) {
        deliveringBackend = attempt.backendId
        selection.onFirstEvent()
        if (running.attempts.size <= 1) return
        val superseded = running.attempts.filter { it != attempt }
        running = running.withTakeOver(attempt)
        superseded.forEach { it.cancel() }
        selection.onSuperseded(superseded.map { it.backendId })
        context.metrics.onTakeOver(request.service.name)
        log.onTakeOver(attempt, superseded, response.lastEventId)
    }

    override fun hasOthers(attempt: Attempt): Boolean = running.besides(attempt) != OtherAttempts.NONE

    override fun stepAfter(attempt: Attempt, end: AttemptEnd): NextStep =
        nextStep(progress(without = attempt), end, budgetAllows())

    private fun budgetAllows(): Boolean = budget.allows(context.timers.nowMs())

    private fun progress(without: Attempt?) = RequestProgress(
        idempotent = route.idempotent,
        resumable = request.streaming && route.resumable && (response.isStream || !response.started),
        otherAttempts = running.besides(without),
        maxAttempts = route.maxAttempts,
        sentAttempts = sentAttempts,
        unsentAttempts = unsentAttempts,
        supersededServers = selection.supersededServers,
        mayHaveRun = mayHaveRun,
        responseStarted = response.started,
        remainingMs = request.remainingMs(),
    )

    override fun onEnded(attempt: Attempt, end: AttemptEnd, detail: String, step: NextStep?) {
        if (done) return
        if (end is AttemptEnd.Rejected) selection.onRejected()
        if (end is AttemptEnd.NotSent) {
            sends--
            unsentAttempts++
            if (!attempt.repeated) sentAttempts--
        }
        running = running.without(attempt)
        apply(step ?: stepAfter(attempt, end), end, detail, attempt.backendId)
    }

    /** Handles that a further attempt cannot be sent. */
    private fun onNotSendable(end: AttemptEnd, detail: String) =
        apply(nextStep(progress(without = null), end, budgetAllows()), end, detail, selection.lastTried)

    private fun apply(step: NextStep, end: AttemptEnd, detail: String, backend: String?) {
        if (end is AttemptEnd.NoAnswer || end is AttemptEnd.BrokenOff || end is AttemptEnd.Failed) mayHaveRun = true
        log.onAttemptEnd(step, end, detail, backend, sends, running.attempts.size)
        when (step) {
            is NextStep.SendAgain -> send(step.countsAgainstBudget, AttemptCause.END, step.toSuperseded)
            NextStep.AwaitRunning -> Unit
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
        if (mayHaveRun || running.attempts.isNotEmpty() || response.started) {
            fail(STATUS_TIMEOUT, "timed-out", "no complete answer in time")
        } else {
            refuse(AttemptEnd.NoCandidate, "no backend server took it in time")
        }
    }

    override fun onComplete(attempt: Attempt, status: Int) {
        running = running.without(attempt)
        response.finish()
        end(if (status < STATUS_SERVER_ERROR) "served" else "ran-and-failed", "status $status")
    }

    private fun end(outcome: String, detail: String) {
        done = true
        selection.onEnd()
        release.onEnd()
        deadlineTimer?.cancel()
        running.attempts.forEach { it.cancel() }
        running = RunningAttempts()
        context.metrics.onRequestEnd(route.name, outcome)
        val backend = deliveringBackend ?: selection.lastTried
        log.onEnd(outcome, backend, sends, response, predictedMs, detail)
        onDone()
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_OUTCOME_UNKNOWN = 502
        const val STATUS_NOT_RUN = 503
        const val STATUS_TIMEOUT = 504
    }
}
