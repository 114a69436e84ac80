/*
 * Forwards one request to backend servers: sends its attempts and ends the response. The attempt rules decide what
 * follows a failed or a silent attempt.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.traffic.cold.waitsForAllowance
import org.bramleyspur.traffic.forward.AttemptEnd
import org.bramleyspur.traffic.forward.NextStep
import org.bramleyspur.traffic.forward.OUTAGE_POLL_INTERVAL_MS
import org.bramleyspur.traffic.forward.OtherAttempts
import org.bramleyspur.traffic.forward.RequestProgress
import org.bramleyspur.traffic.forward.RunningAttempts
import org.bramleyspur.traffic.forward.maySendBesideSilent
import org.bramleyspur.traffic.forward.nextStep
import org.bramleyspur.traffic.forward.waitsForOutage
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
    private val triedBackends = LinkedHashSet<String>()
    private val supersededBackends = LinkedHashSet<String>()
    private var deadlineTimer: TimerHandle? = null
    private var running = RunningAttempts<Attempt>()
    private var sends = 0
    private var sentAttempts = 0
    private var unsentAttempts = 0
    private var mayHaveRun = false
    private var done = false

    /** Whether it has waited for a backend server. */
    private var waiting = false
    private var predictedMs: Double? = null
    private var deliveringBackend: String? = null

    /** Sets the deadline and starts the first attempt. */
    fun start() {
        budget.onRequest(context.timers.nowMs())
        if (request.streaming) context.onStreamRequest(request)
        deadlineTimer = context.timers.after(maxOf(0, request.remainingMs())) { guarded(faultHandler) { onDeadline() } }
        send(countsAgainstBudget = false)
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

    override fun onFault(cause: Throwable) = faultHandler(cause)

    /** Pauses reading from the backend servers while the caller's connection accepts no more data. */
    fun onCallerWritable(writable: Boolean) = running.attempts.forEach { it.pauseReading(!writable) }

    private fun choose(filter: BackendFilter): BackendChoice? =
        context.choose(request.service, request.model, request.tokens, filter)

    private fun chooseUntried(): BackendChoice? = choose(BackendFilter(homes = request.homes) { it !in triedBackends })

    /** Chooses a backend server whose attempt was superseded; this also ends that it can be asked again. */
    private fun takeSuperseded(): BackendChoice? {
        val choice = choose(BackendFilter(unresponsiveToo = true, request.homes) { it in supersededBackends })
        if (choice == null) supersededBackends.clear() else supersededBackends -= choice.load.id
        return choice
    }

    private fun send(countsAgainstBudget: Boolean, toSuperseded: Boolean = false) {
        if (isKeptFromEngines()) return
        val choice = if (toSuperseded) takeSuperseded() else chooseUntried()
        when {
            choice == null && !toSuperseded && isHeld(countsAgainstBudget) -> Unit
            choice == null && waits() -> awaitBackend { send(countsAgainstBudget, toSuperseded) }
            choice == null ->
                onNotSendable(
                    context.backoffMs(request.service, request.model)?.let { AttemptEnd.BackingOff(it) }
                        ?: AttemptEnd.NoCandidate,
                    noServerText(),
                )
            !isSoonEnough(choice) ->
                onNotSendable(AttemptEnd.NoCandidate, "expected ${choice.expectedMs.toLong()} ms to the first event")
            else -> start(choice, countsAgainstBudget)
        }
    }

    /** Handles a request that is kept from cold backend servers only: it waits shortly or is refused. */
    private fun isHeld(countsAgainstBudget: Boolean): Boolean {
        val (backend, held) = context.firstHeld(request, triedBackends) ?: return false
        val waitMs = maxOf(1, held.untilMs - context.timers.nowMs())
        val waits = waitsForAllowance(request.elapsedMs() + waitMs, request.remainingMs(), route.targetLatencyMs)
        context.metrics.onColdHeld(route.name, held.reason.name, waits)
        log.onColdHeld(backend, held.reason, waitMs, waits)
        if (waits) {
            context.timers.after(waitMs) {
                if (!done) guarded(faultHandler) { send(countsAgainstBudget) }
            }
        } else {
            onNotSendable(AttemptEnd.BackingOff(waitMs), "all backend servers are cold: ${held.reason.text}")
        }
        return true
    }

    private fun noServerText(): String {
        val target = request.model ?: request.service.name
        if (context.isOutsideHomes(request)) return "no backend server of $target is in a region of the request"
        if (!context.isEvacuated(request.service, request.model)) return "no backend server takes $target"
        context.metrics.onEvacuated(route.name)
        return "all backend servers of $target are in evacuated data centres"
    }

    /** Whether the request, of which nothing was sent, waits for the end of an outage. */
    private fun waits(): Boolean = sends == 0 && unsentAttempts == 0 &&
        !context.isEvacuated(request.service, request.model) && !context.isOutsideHomes(request) &&
        context.backoffMs(request.service, request.model) == null &&
        waitsForOutage(
            request.elapsedMs(),
            request.remainingMs(),
            context.outages.outageMs(request.service, request.model),
        )

    private fun awaitBackend(sendAgain: () -> Unit) {
        if (!waiting) {
            waiting = true
            context.metrics.onWait(route.name, "backend")
            log.onWait(request.model ?: request.service.name)
        }
        context.timers.after(OUTAGE_POLL_INTERVAL_MS) { if (!done) guarded(faultHandler) { sendAgain() } }
    }

    private fun start(choice: BackendChoice, countsAgainstBudget: Boolean) {
        // Built before the attempt counts as sent, since it may throw.
        val head = request.head(choice.load.id, response.lastEventId)
        if (countsAgainstBudget) {
            budget.onRetry(context.timers.nowMs())
            context.metrics.onRetry(request.service.name)
        }
        val repeated = !triedBackends.add(choice.load.id)
        if (!repeated) sentAttempts++
        predictedMs = choice.expectedMs
        sends++
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
                "a part of its prompt may have crashed ${triedBackends.lastOrNull()}",
            )
            return true
        }
        val verdict = context.promptParts.admit(request.parts) as? PartVerdict.Blocked ?: return false
        context.metrics.onPartBlocked(route.name, sentBefore = false)
        onNotSendable(AttemptEnd.PartBlocked(verdict.retryAfterMs), "its prompt part ${verdict.part} crashes engines")
        return true
    }

    private fun isSoonEnough(choice: BackendChoice): Boolean =
        choice.expectedMs <= request.remainingMs() && choice.waitMs <= maxWaitMs()

    /**
     * Longest acceptable queueing time on a backend server, in milliseconds. Callers give up on a stream that does not
     * begin; one that has begun may wait until its deadline. The limit does not depend on the length of the prompt.
     */
    private fun maxWaitMs(): Double =
        if (request.streaming && !response.started) context.maxWaitMs(request) else Double.MAX_VALUE

    override fun onData(attempt: Attempt) {
        running = running.withData(attempt)
    }

    override fun onSilent(attempt: Attempt, silentMs: Long) {
        running = running.withSilent(attempt)
        if (!maySendBesideSilent(progress(without = null), budgetAllows())) return
        if (!context.promptParts.allowsRetry(request.parts)) return
        val choice = chooseUntried()?.takeIf { isSound(it) && isSoonEnough(it) } ?: return
        running.attempts.forEach { it.markUnresponsive() }
        context.metrics.onAttemptBeside(request.service.name)
        log.onBeside(running.attempts, silentMs, choice.load.id, response.lastEventId, sends + 1)
        start(choice, countsAgainstBudget = true)
    }

    private fun isSound(choice: BackendChoice) = context.timers.nowMs() >= choice.load.suspectUntilMs

    override fun takeOver(attempt: Attempt) {
        deliveringBackend = attempt.backendId
        if (running.attempts.size <= 1) return
        val superseded = running.attempts.filter { it != attempt }
        running = running.withTakeOver(attempt)
        superseded.forEach { it.cancel() }
        supersededBackends += superseded.map { it.backendId }
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
        supersededServers = supersededBackends.size,
        mayHaveRun = mayHaveRun,
        responseStarted = response.started,
        remainingMs = request.remainingMs(),
    )

    override fun onEnded(attempt: Attempt, end: AttemptEnd, detail: String, step: NextStep?) {
        if (done) return
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
        apply(nextStep(progress(without = null), end, budgetAllows()), end, detail, triedBackends.lastOrNull())

    private fun apply(step: NextStep, end: AttemptEnd, detail: String, backend: String?) {
        if (end is AttemptEnd.NoAnswer || end is AttemptEnd.BrokenOff || end is AttemptEnd.Failed) mayHaveRun = true
        log.onAttemptEnd(step, end, detail, backend, sends, running.attempts.size)
        when (step) {
            is NextStep.SendAgain -> send(step.countsAgainstBudget, step.toSuperseded)
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
            else -> null
        }
        response.refuse(STATUS_NOT_RUN, "not run: $detail", knownRetryAfterMs ?: RETRY_AFTER_MS)
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
        deadlineTimer?.cancel()
        running.attempts.forEach { it.cancel() }
        running = RunningAttempts()
        context.metrics.onRequestEnd(route.name, outcome)
        val backend = deliveringBackend ?: triedBackends.lastOrNull()
        log.onEnd(outcome, backend, sends, response.firstByteMs, predictedMs, detail)
        onDone()
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_OUTCOME_UNKNOWN = 502
        const val STATUS_NOT_RUN = 503
        const val STATUS_TIMEOUT = 504

        /** Forming a group again without a lost member takes about two seconds; other groups have room sooner. */
        const val RETRY_AFTER_MS = 300L
    }
}
