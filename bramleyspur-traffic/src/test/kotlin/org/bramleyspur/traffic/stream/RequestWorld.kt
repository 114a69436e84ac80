/*
 * Agents and a network around one request: messages arrive late, doubled, reordered or not at all, in an order that a
 * seeded generator chooses. It knows what really began, so it can check every ending against the truth.
 */
package org.bramleyspur.traffic.stream

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.traffic.admission.LookupState
import org.bramleyspur.traffic.admission.RefusalReason
import kotlin.random.Random

internal class RequestWorld(private val facts: RequestFacts, private val random: Random, private val loss: Int) {
    private class FakeAttempt(val resume: Int) {
        var arrived = false
        var began = false
        var barred = false
        var over = false
        var position = resume
    }

    private val agents = mutableMapOf<Int, FakeAttempt>()
    private val toAgent = mutableListOf<() -> Unit>()
    private val toEntry = mutableListOf<RequestEvent>()
    private val starts = mutableListOf<StartAttempt>()
    var state: RequestState
        private set
    val text = mutableListOf<String>()
    val endings = mutableListOf<RequestEnding>()
    val begins: Int get() = agents.values.count { it.began }

    init {
        val first = acceptRequest(facts)
        state = first.state
        perform(first.effects)
    }

    fun run(steps: Int) {
        repeat(steps) { step() }
        feed(DeadlinePassed)
        feed(GraceEnded)
        while (toAgent.isNotEmpty()) toAgent.removeAt(0)()
        agents.values.forEach { begin(it) }
        while (toEntry.isNotEmpty()) feed(toEntry.removeAt(0))
    }

    fun check() {
        val ending = endings.single()
        if (ending is Finish && facts.kind == RequestKind.GENERATION) check(text.size == TOKENS) { "incomplete: $text" }
        val kind = (ending as? Refuse)?.kind ?: (ending as? FailStream)?.kind ?: (ending as? Abandon)?.kind
        if (kind == Refusal.NOT_RUN) check(begins == 0) { "false not_run after $begins begins: $state" }
        if (ending is Refuse && facts.streaming) check(text.isEmpty()) { "refused after delivery" }
        if (!facts.idempotent) check(begins <= 1) { "$begins begins" }
    }

    private fun step() {
        when (random.nextInt(10)) {
            0, 1, 2 -> if (toAgent.isNotEmpty()) toAgent.removeAt(random.nextInt(toAgent.size))()
            3, 4, 5 -> deliver()
            6, 7 -> agents.entries.randomOrNull(random)?.let { act(it.key, it.value) }
            8 -> if (starts.isNotEmpty()) start(starts.removeAt(0))
            else -> if (random.nextInt(100) < loss) fault()
        }
    }

    private fun deliver() {
        if (toEntry.isEmpty()) return
        val index = if (random.nextInt(4) == 0) random.nextInt(toEntry.size) else 0
        val event = toEntry[index]
        if (random.nextInt(100) >= loss / 2) toEntry.removeAt(index)
        feed(event)
    }

    private fun fault() {
        val event = when (random.nextInt(12)) {
            0 -> CallerGone
            1 -> DeadlinePassed
            2, 3 -> toEntry.removeFirstOrNull()?.let { null }
            else -> agents.entries.randomOrNull(random)?.let { cut(it.key, it.value) }
        }
        event?.let { feed(it) }
    }

    private fun cut(number: Int, agent: FakeAttempt): RequestEvent {
        val written = agent.arrived || random.nextBoolean()
        if (!written) agent.barred = true
        return ConnectionLost(number, written)
    }

    private fun start(order: StartAttempt) {
        if (!state.mayWrite(order.attempt)) return
        if (random.nextInt(8) == 0) return feed(AttemptNotStarted(order.attempt, NotStartedReason.NO_ROUTE))
        check(order.resumeTokens == text) { "resume with ${order.resumeTokens} after $text" }
        val agent = FakeAttempt(order.resumePosition)
        agents[order.attempt] = agent
        toAgent += { agent.arrived = true }
        feed(AttemptSent(order.attempt, Incarnation("agent-${order.attempt}")))
    }

    private fun act(number: Int, agent: FakeAttempt) {
        if (!agent.arrived || agent.over) return
        val events = when {
            agent.barred && !agent.began -> finish(agent, AttemptRefused(number, RefusalReason.CANCELLED))
            !agent.began && random.nextInt(3) == 0 -> refuse(number, agent)
            !agent.began -> begin(agent).let { listOf(AttemptBegun(number)) }
            random.nextInt(12) == 0 -> finish(agent, AttemptBroken(number, random.nextBoolean()))
            else -> answer(number, agent)
        }
        toEntry += events
    }

    private fun answer(number: Int, agent: FakeAttempt): List<RequestEvent> = when {
        facts.kind == RequestKind.CALL -> finish(agent, AttemptHead(number, 200), AttemptBody(number, last = true))
        agent.position < TOKENS -> listOf(AttemptPiece(number, agent.position, "${agent.position++}/$number"))
        else -> finish(agent, AttemptEnd(number, "stop", 3, TOKENS))
    }

    private fun refuse(number: Int, agent: FakeAttempt): List<RequestEvent> {
        agent.barred = true
        val reason = RefusalReason.entries.filter { it != RefusalReason.DUPLICATE }.random(random)
        return finish(agent, AttemptRefused(number, reason))
    }

    private fun finish(agent: FakeAttempt, vararg events: RequestEvent): List<RequestEvent> {
        agent.over = true
        return events.asList()
    }

    private fun begin(agent: FakeAttempt) {
        if (agent.arrived && !agent.barred && !agent.over) agent.began = true
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
            is CancelAttempt -> toAgent += { bar(effect.attempt) { CancelConfirmed(effect.attempt, it) } }
            is LookupAttempt ->
                toAgent +=
                    { bar(effect.attempt) { LookupAnswered(effect.attempt, lookupState(it), true) } }
            is RequestEnding -> endings += effect
            else -> Unit
        }
    }

    /** Attempts may generate different text, so a token counts as right only from the attempt that is current. */
    private fun deliver(effect: DeliverToken) {
        check(effect.token == "${text.size}/${state.current.number}") { "delivered ${effect.token} after $text" }
        text += effect.token
    }

    private fun lookupState(began: Boolean) = if (began) LookupState.RUNNING else LookupState.NOT_BEGUN

    private fun bar(number: Int, answer: (Boolean) -> RequestEvent) {
        val agent = agents.getValue(number)
        agent.barred = true
        toEntry += answer(agent.began)
    }

    companion object {
        const val TOKENS = 5
    }
}
