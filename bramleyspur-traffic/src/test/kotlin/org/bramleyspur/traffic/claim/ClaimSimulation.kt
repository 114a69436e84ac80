/*
 * Simulates several requests with one idempotency key, sent through entries that can crash, against a control log and
 * agents that can restart. A seeded generator chooses which messages are delayed, duplicated and lost.
 */
package org.bramleyspur.traffic.claim

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.Refusal
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.LookupState
import kotlin.random.Random

internal class ClaimSimulation(private val random: Random, private val lossPercent: Int) {
    private class Call(val name: String) {
        var state = ClaimState(RequestId(name))
        var crashed = false
        var submitted = false
        val endings = mutableListOf<ClaimEnding>()
        val begun = mutableSetOf<RequestId>()
        val sent = mutableSetOf<RequestId>()
    }

    private class Agent(var incarnation: Incarnation) {
        val blocked = mutableSetOf<RequestId>()
        val running = mutableSetOf<RequestId>()
        val ended = mutableSetOf<RequestId>()
    }

    private class LogRecord(val holder: ClaimHolder, var outcome: RecordOutcome? = null)

    private val calls = List(3) { Call("r$it") }
    private val agents = List(2) { Agent(Incarnation("agent-$it")) }
    private val messages = mutableListOf<() -> Unit>()
    private val duplicates = mutableListOf<() -> Unit>()
    private var record: LogRecord? = null
    private val response = RecordedResponse(200, "text/plain", ByteArray(1), 1)
    private var runs = 0

    fun run(steps: Int) {
        repeat(steps) { step() }
        repeat(40) { round ->
            while (messages.isNotEmpty()) messages.removeAt(0)()
            if (round == 20) calls.forEach { passDeadline(it) }
        }
    }

    fun check() {
        check(runs <= 1) { "the call ran $runs times" }
        calls.filter { !it.crashed && it.submitted }.forEach { call ->
            check(call.endings.size == 1) { "${call.name} ended ${call.endings.size} times: ${call.state}" }
        }
    }

    private fun passDeadline(call: Call) {
        feed(call, ClaimDeadline)
        feed(call, ExecutionEnded(ExecutionResult.Unknown("deadline")))
    }

    private fun step() {
        when (random.nextInt(20)) {
            0 -> calls.random(random).let { if (!it.submitted) submit(it) }
            1 -> if (random.nextInt(100) < lossPercent) fault()
            else -> if (messages.isNotEmpty()) message()
        }
    }

    private fun message() {
        val index = random.nextInt(minOf(messages.size, if (random.nextInt(5) == 0) 8 else 1))
        val message = messages.removeAt(index)
        // A duplicate arrives much later, among the messages of the next claim.
        if (random.nextInt(100) < lossPercent / 3) duplicates += message
        if (duplicates.isNotEmpty() && random.nextInt(20) == 0) messages.add(0, duplicates.removeAt(0))
        message()
    }

    private fun fault() {
        when (random.nextInt(8)) {
            0 -> calls.random(random).crashed = true
            1 -> calls.random(random).let { feed(it, ClaimCallerDisconnected) }
            2 -> calls.random(random).let { feed(it, ClaimDeadline) }
            3 -> agents.random(random).let { restart(it) }
            else -> messages.randomOrNull(random)?.let { messages.remove(it) }
        }
    }

    private fun restart(agent: Agent) {
        agent.incarnation = Incarnation("${agent.incarnation.value}'")
        agent.running.clear()
        agent.ended.clear()
        agent.blocked.clear()
    }

    private fun submit(call: Call) {
        call.submitted = true
        val first = acceptCall(RequestId(call.name))
        call.state = first.state
        perform(call, first.effects)
    }

    private fun feed(call: Call, event: ClaimEvent) {
        if (call.crashed || !call.submitted) return
        val next = call.state.on(event)
        call.state = next.state
        perform(call, next.effects)
    }

    private fun perform(call: Call, effects: List<ClaimEffect>) = effects.forEach { effect ->
        when (effect) {
            is ChooseTarget -> messages += { choose(call, effect) }
            is SendClaim ->
                rpc(call, { claim(effect) }, { ClaimResponseReceived(effect.sequence, it ?: ClaimReply.Lost) })
            is SendRecord -> rpc(call, { complete(effect) }, {
                if (it == null) RecordLost(effect.sequence) else RecordResponseReceived(effect.sequence, it)
            })

            is LookUpHolder -> rpc(call, { lookup(effect) }, { it ?: HolderUnreachable(effect) })
            is Execute -> messages += { execute(call, effect) }
            is ClaimEnding -> end(call, effect)
        }
    }

    private fun <T : Any> rpc(call: Call, serve: () -> T?, event: (T?) -> ClaimEvent) {
        messages += {
            val reply = if (random.nextInt(100) < lossPercent / 2) null else serve()
            val received = reply.takeIf { random.nextInt(100) >= lossPercent / 2 }
            messages += { feed(call, event(received)) }
        }
    }

    private fun choose(call: Call, effect: ChooseTarget) {
        val agent = agents.filter { it.incarnation !in effect.excluded }.randomOrNull(random)
        feed(call, agent?.let { TargetChosen(ClaimTarget(it.incarnation, "${agents.indexOf(it)}")) } ?: NoTarget(10))
    }

    private fun claim(effect: SendClaim): ClaimReply {
        val claim = record ?: LogRecord(ClaimHolder(effect.request, effect.target)).also { record = it }
        return when (val outcome = claim.outcome) {
            is RecordOutcome.Responded -> ClaimReply.Responded(outcome.response)
            is RecordOutcome.Unknown -> ClaimReply.UnknownOutcome
            else -> if (claim.holder == ClaimHolder(effect.request, effect.target) && random.nextBoolean()) {
                ClaimReply.Granted
            } else {
                ClaimReply.InProgress(claim.holder)
            }
        }
    }

    private fun complete(effect: SendRecord): Boolean {
        val claim = record?.takeIf { it.holder.request == effect.request } ?: return false
        if (claim.outcome != null) return claim.outcome == effect.outcome
        if (effect.outcome == RecordOutcome.NotRun) record = null else claim.outcome = effect.outcome
        return true
    }

    private fun lookup(effect: LookUpHolder): ClaimEvent {
        val agent = agents[effect.holder.target.address.toInt()]
        val request = effect.holder.request
        val state = when (request) {
            in agent.running -> LookupState.RUNNING
            in agent.ended -> LookupState.ENDED
            else -> LookupState.NOT_BEGUN
        }
        if (effect.cancel && state == LookupState.NOT_BEGUN) agent.blocked += request
        return HolderFound(effect, state, agent.incarnation)
    }

    private fun execute(call: Call, effect: Execute) {
        val agent = agents[effect.target.address.toInt()]
        val request = effect.request
        if (!call.sent.add(request)) return // A connection delivers the start of an attempt only once.
        val refused = agent.incarnation != effect.target.incarnation || request in agent.blocked
        val known = request in agent.running || request in agent.ended
        if (refused || random.nextInt(3) == 0) {
            if (!known) agent.blocked += request
            if (!known) feed(call, ExecutionEnded(ExecutionResult.NotRun("refused", 10)))
            return
        }
        if (known) return
        runs++
        call.begun += request
        agent.running += request
        messages += { finish(call, agent, request) }
    }

    private fun finish(call: Call, agent: Agent, request: RequestId) {
        agent.running -= request
        agent.ended += request
        val result = when (random.nextInt(4)) {
            0 -> ExecutionResult.Unknown("lost")
            else -> ExecutionResult.Responded(response, failed = random.nextInt(4) == 0)
        }
        feed(call, ExecutionEnded(result))
    }

    private fun end(call: Call, ending: ClaimEnding) {
        call.endings += ending
        val recorded = record?.outcome is RecordOutcome.Responded
        if (ending is ReturnResponse ||
            ending is ReplayResponse
        ) {
            check(recorded && runs == 1) { "returned an unrecorded response, or ran $runs times" }
        }
        val notRun = ending is RefuseCall && ending.kind == Refusal.NOT_RUN
        if (notRun) check(call.begun.isEmpty()) { "refused as not_run after a begin: ${call.state}" }
    }
}
