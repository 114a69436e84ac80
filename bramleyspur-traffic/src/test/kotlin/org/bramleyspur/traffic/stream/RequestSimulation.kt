/*
 * Simulates the agents and the network of one request: a seeded generator chooses which messages arrive late,
 * duplicated, reordered or not at all. It knows which attempts began, so it can check each ending against that.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import kotlin.random.Random

internal class RequestSimulation(
    private val facts: RequestFacts,
    private val random: Random,
    private val lossPercent: Int,
) {
    private class SimulatedAttempt(val resumePosition: Int) {
        var arrived = false
        var began = false
        var blocked = false
        var ended = false
        var position = resumePosition
    }

    private val attempts = mutableMapOf<Int, SimulatedAttempt>()
    private val toAgent = mutableListOf<() -> Unit>()
    private val toEntry = mutableListOf<RequestEvent>()
    private val starts = mutableListOf<StartAttempt>()
    var state: RequestState
        private set
    val text = mutableListOf<String>()
    val endings = mutableListOf<RequestEnding>()
    val begins: Int get() = attempts.values.count { it.began }

    init {
        val first = acceptRequest(facts)
        state = first.state
        perform(first.effects)
    }

    fun run(steps: Int) {
        repeat(steps) { step() }
        feed(DeadlinePassed)
        feed(CancelTimeoutElapsed)
        while (toAgent.isNotEmpty()) toAgent.removeAt(0)()
        attempts.values.forEach { begin(it) }
        while (toEntry.isNotEmpty()) feed(toEntry.removeAt(0))
    }

    fun check() {
        val ending = endings.single()
        if (ending is Finish && facts.kind == RequestKind.GENERATION) check(text.size == TOKENS) { "incomplete: $text" }
        val kind = (ending as? Refuse)?.kind ?: (ending as? FailStream)?.kind ?: (ending as? Abandon)?.kind
        if (kind == Refusal.NOT_RUN) check(begins == 0) { "refused as not_run after $begins begins: $state" }
        if (ending is Refuse && facts.streaming) check(text.isEmpty()) { "refused after delivering $text" }
        if (!facts.idempotent) check(begins <= 1) { "non-idempotent request began $begins times" }
    }

    private fun step() {
        when (random.nextInt(10)) {
            0, 1, 2 -> if (toAgent.isNotEmpty()) toAgent.removeAt(random.nextInt(toAgent.size))()
            3, 4, 5 -> deliver()
            6, 7 -> attempts.entries.randomOrNull(random)?.let { advance(it.key, it.value) }
            8 -> if (starts.isNotEmpty()) start(starts.removeAt(0))
            else -> if (random.nextInt(100) < lossPercent) fault()
        }
    }

    private fun deliver() {
        if (toEntry.isEmpty()) return
        val index = if (random.nextInt(4) == 0) random.nextInt(toEntry.size) else 0
        val event = toEntry[index]
        if (random.nextInt(100) >= lossPercent / 2) toEntry.removeAt(index)
        feed(event)
    }

    private fun fault() {
        val event = when (random.nextInt(12)) {
            0 -> CallerDisconnected
            1 -> DeadlinePassed
            2, 3 -> toEntry.removeFirstOrNull()?.let { null }
            else -> attempts.entries.randomOrNull(random)?.let { loseConnection(it.key, it.value) }
        }
        event?.let { feed(it) }
    }

    private fun loseConnection(number: Int, attempt: SimulatedAttempt): RequestEvent {
        val written = attempt.arrived || random.nextBoolean()
        if (!written) attempt.blocked = true
        return ConnectionLost(number, written)
    }

    private fun start(effect: StartAttempt) {
        if (!state.mayStart(effect.attempt)) return
        if (random.nextInt(8) == 0) return feed(AttemptNotStarted(effect.attempt, NotStartedReason.NO_ROUTE))
        check(effect.resumeTokens == text) { "resume with ${effect.resumeTokens} after $text" }
        val attempt = SimulatedAttempt(effect.resumePosition)
        attempts[effect.attempt] = attempt
        toAgent += { attempt.arrived = true }
        feed(AttemptSent(effect.attempt, Incarnation("agent-${effect.attempt}")))
    }

    private fun advance(number: Int, attempt: SimulatedAttempt) {
        if (!attempt.arrived || attempt.ended) return
        val events = when {
            attempt.blocked && !attempt.began -> finish(attempt, AttemptRefused(number, RefusalReason.CANCELLED))
            !attempt.began && random.nextInt(3) == 0 -> refuse(number, attempt)
            !attempt.began -> begin(attempt).let { listOf(AttemptBegun(number)) }
            random.nextInt(12) == 0 -> finish(attempt, AttemptBroken(number, random.nextBoolean()))
            else -> response(number, attempt)
        }
        toEntry += events
    }

    private fun response(number: Int, attempt: SimulatedAttempt): List<RequestEvent> = when {
        facts.kind == RequestKind.CALL -> finish(attempt, AttemptHead(number, 200), AttemptBody(number, last = true))
        attempt.position < TOKENS -> listOf(AttemptToken(number, attempt.position, "${attempt.position++}/$number"))
        else -> finish(attempt, AttemptEnd(number, "stop", 3, TOKENS))
    }

    private fun refuse(number: Int, attempt: SimulatedAttempt): List<RequestEvent> {
        attempt.blocked = true
        val reason = RefusalReason.entries.filter { it != RefusalReason.DUPLICATE }.random(random)
        return finish(attempt, AttemptRefused(number, reason))
    }

    private fun finish(attempt: SimulatedAttempt, vararg events: RequestEvent): List<RequestEvent> {
        attempt.ended = true
        return events.asList()
    }

    private fun begin(attempt: SimulatedAttempt) {
        if (attempt.arrived && !attempt.blocked && !attempt.ended) attempt.began = true
    }

    private fun feed(event: RequestEvent) {
        val next = state.on(event)
        state = next.state
        perform(next.effects)
    }

    private fun perform(effects: List<RequestEffect>) = effects.forEach { effect ->
        when (effect) {
            is StartAttempt -> starts += effect
            is DeliverToken -> deliver(effect)
            is CancelAttempt -> toAgent += { cancel(effect.attempt) { CancelConfirmed(effect.attempt, it) } }
            is LookupAttempt ->
                toAgent +=
                    { cancel(effect.attempt) { LookupResponseReceived(effect.attempt, lookupState(it), true) } }
            is RequestEnding -> endings += effect
            else -> Unit
        }
    }

    /** Attempts may generate different text, so only a token of the current attempt is correct. */
    private fun deliver(effect: DeliverToken) {
        check(effect.token == "${text.size}/${state.current.number}") { "delivered ${effect.token} after $text" }
        text += effect.token
    }

    private fun lookupState(began: Boolean) = if (began) LookupState.RUNNING else LookupState.NOT_BEGUN

    private fun cancel(number: Int, response: (Boolean) -> RequestEvent) {
        val attempt = attempts.getValue(number)
        attempt.blocked = true
        toEntry += response(attempt.began)
    }

    companion object {
        const val TOKENS = 5
    }
}
