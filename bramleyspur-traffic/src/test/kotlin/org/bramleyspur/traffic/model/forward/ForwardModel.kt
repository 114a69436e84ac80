/*
 * Plays a load pattern: entries that choose among the same engines, each with its own view of their load. Entries
 * report their work to control each 250 ms, and control tells each entry the sum of the others' each 300 ms.
 */
package org.bramleyspur.traffic.model.forward

import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.generationCost
import java.util.PriorityQueue
import java.util.Random
import kotlin.math.ln

/** Work at one backend server in requests and prompt tokens. */
internal data class ModelWork(val inFlight: Int = 0, val pendingTokens: Long = 0, val contextTokens: Long = 0) {
    operator fun plus(other: ModelWork) = ModelWork(
        inFlight + other.inFlight,
        pendingTokens + other.pendingTokens,
        contextTokens + other.contextTokens,
    )
}

/** What an entry knows of a backend server: its own work, and the last load header with its own work at that time. */
internal class ModelLoad(val engine: ModelEngine) {
    var own = ModelWork()
    var running = 0
    var waiting = 0
    var reportedAtMs = Double.NEGATIVE_INFINITY
    var ownAtReport = 0
}

/** An entry; [others] is the sum of the other entries' work that control sent at [othersAtMs]. */
internal class ModelEntry(val index: Int, val entries: Int, val scenario: Scenario, engines: List<ModelEngine>) {
    val loads = engines.map { ModelLoad(it) }
    var others: Map<String, ModelWork> = emptyMap()
    var othersAtMs = Double.NEGATIVE_INFINITY

    /** Work of this entry by backend server, without those at which it has none. */
    fun work(): Map<String, ModelWork> = loads.filter { it.own.inFlight > 0 }.associate { it.engine.id to it.own }
}

/** Plays [scenario] by [rules] with a random [seed]. */
internal class ForwardModel(private val scenario: Scenario, private val rules: Rules, seed: Long) {
    private class Event(val atMs: Double, val order: Long, val run: () -> Unit)

    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.order }))
    private val random = Random(seed)
    private val choiceRandom = Random(seed xor CHOICE_SEED)
    private val callerRandom = Random(seed xor CALLER_SEED)
    private var nowMs = 0.0
    private var eventCount = 0L
    private val engines = scenario.headFactors.mapIndexed { index, factor ->
        val silent = scenario.silentHeads[index]
        ModelEngine("e$index", scenario.costs, factor, scenario.queueLimit, scenario.reportLagMs, silent, ::at)
    }
    private val entries = scenario.entryShares.indices.map {
        ModelEntry(it, scenario.entryShares.size, scenario, engines)
    }
    private val admissions = entries.map { rules.admission(it.index) }
    private val observers = entries.map { rules.observer(it.index) }
    private val reports = HashMap<Int, Pair<Double, Map<String, ModelWork>>>()
    private val result = Results()

    private fun at(atMs: Double, run: () -> Unit) {
        events += Event(atMs, eventCount++, run)
    }

    /** Plays the pattern to the end of its last request. */
    fun play(): Results {
        scheduleArrivals()
        entries.forEach { entry ->
            val phase = random.nextDouble()
            every(REPORT_INTERVAL_MS, phase) { if (!controlSilent()) reports[entry.index] = nowMs to entry.work() }
            every(EVENT_INTERVAL_MS, random.nextDouble()) { if (!controlSilent()) tell(entry) }
        }
        every(SAMPLE_INTERVAL_MS, 0.0) { result.sample(engines) }
        while (events.isNotEmpty()) {
            val event = events.poll()
            nowMs = event.atMs
            event.run()
        }
        return result
    }

    private fun controlSilent() = scenario.controlSilent.any { nowMs in it }

    private fun every(intervalMs: Double, phase: Double, run: () -> Unit) {
        var atMs = intervalMs * phase
        while (atMs < scenario.durationMs) {
            at(atMs, run)
            atMs += intervalMs
        }
    }

    private fun tell(entry: ModelEntry) {
        val others = reports.filter { (index, report) -> index != entry.index && nowMs - report.first <= 1_000.0 }
        val sum = HashMap<String, ModelWork>()
        others.values.forEach { (_, work) -> work.forEach { (id, part) -> sum.merge(id, part, ModelWork::plus) } }
        entry.others = sum
        entry.othersAtMs = nowMs
    }

    private fun scheduleArrivals() {
        val peak = scenario.bursts.fold(1.0) { product, burst -> product * maxOf(1.0, burst.factor) }
        var atMs = 0.0
        while (true) {
            atMs += -ln(1 - random.nextDouble()) * MS_PER_SECOND / (scenario.ratePerS * peak)
            if (atMs >= scenario.durationMs) return
            val kind = pick(scenario.classes.map { it to it.share })
            val account = pick(kind.accounts.toList())
            val entry = pick(scenario.entryShares.mapIndexed { index, share -> index to share })
            val factor = scenario.bursts
                .filter { atMs >= it.fromMs && atMs < it.toMs && (it.account == null || it.account == account) }
                .fold(1.0) { product, burst -> product * burst.factor }
            if (random.nextDouble() * peak >= factor) continue
            val request = ModelRequest(kind, account, atMs, atMs, tries = 0)
            at(atMs) { arrive(entry, request) }
        }
    }

    private fun <T> pick(shares: List<Pair<T, Double>>): T {
        var left = random.nextDouble() * shares.sumOf { it.second }
        return shares.first { (_, share) -> (left < share).also { left -= share } }.first
    }

    private fun arrive(entry: Int, request: ModelRequest) {
        result.onAsked(request)
        offer(entries[entry], request, emptySet())
    }

    private fun offer(entry: ModelEntry, request: ModelRequest, tried: Set<String>) {
        if (nowMs - request.arrivedMs >= scenario.deadlineMs) return result.onLate(request)
        val candidates = rules.view(entry, nowMs).filter { it.id !in tried }.takeIf { tried.size < MAX_ATTEMPTS }
        val kind = request.kind
        val chosen = rules.choice(entry, request, candidates.orEmpty(), nowMs, choiceRandom) {
            generationCost(it, kind.promptTokens.toLong(), kind.outputTokens.toLong(), scenario.costs)
        }
        when (val admission = admissions[entry.index](entry, request, chosen, nowMs)) {
            is Admission.Start -> chosen?.let { send(entry, request, it, tried, admission.urgency) }
            is Admission.Wait -> at(nowMs + admission.delayMs) { offer(entry, request, tried) }
            is Admission.Refuse -> refuse(request, admission.retryAfterMs)
        }
    }

    private fun refuse(request: ModelRequest, retryAfterMs: Double) {
        result.onRefused(request)
        if (request.tries >= scenario.maxReturns) return
        val atMs = nowMs + scenario.returnDelayMs(retryAfterMs, callerRandom)
        // The load balancer sends a caller that returns to any entry.
        val entry = callerRandom.nextInt(entries.size)
        at(atMs) {
            val firstMs = if (scenario.countsFromFirstTry) request.firstArrivedMs else atMs
            arrive(entry, ModelRequest(request.kind, request.account, atMs, firstMs, request.tries + 1))
        }
    }

    private fun send(entry: ModelEntry, request: ModelRequest, chosen: Candidate, tried: Set<String>, urgency: Int) {
        val load = entry.loads.first { it.engine.id == chosen.id }
        val prompt = request.kind.promptTokens.toLong()
        var pending = prompt
        val sentAtMs = nowMs
        load.own += ModelWork(1, prompt, prompt)
        fun onPrefilled() {
            load.own += ModelWork(0, -pending, 0)
            pending = 0
        }
        val observer = observers[entry.index]
        var ended = false
        var observed = false
        fun onEnd() {
            if (ended) return
            observer.onEnded(request)
            onPrefilled()
            load.own += ModelWork(-1, 0, -prompt)
            ended = true
        }
        val work = EngineWork(
            request.kind.promptTokens,
            request.kind.outputTokens,
            urgency.takeIf { scenario.ordersByUrgency } ?: 0,
            onFirst = { atMs ->
                val tookMs = (atMs - sentAtMs).toLong()
                if (!observed) observer.onFirstEvent(request, tookMs, atMs)
                onPrefilled()
                val (running, waiting) = load.engine.report(atMs)
                load.running = running
                load.waiting = waiting
                load.reportedAtMs = atMs
                load.ownAtReport = load.own.inFlight
                result.onFirst(request, atMs + NETWORK_MS)
            },
            onEnd = { onEnd() },
        )
        at(nowMs + NETWORK_MS) {
            if (!load.engine.accept(work, nowMs)) {
                onEnd()
                result.onRejected()
                offer(entry, request, tried + chosen.id)
            }
        }
        at(sentAtMs + request.kind.targetMs) {
            if (!ended && pending > 0 && !load.engine.isSilent(nowMs)) {
                observed = true
                observer.onFirstEvent(request, request.kind.targetMs, nowMs)
            }
        }
        at(request.arrivedMs + scenario.deadlineMs) {
            if (ended) return@at
            work.cancelled = true
            if (pending > 0) result.onLate(request)
            onEnd()
        }
    }

    private companion object {
        const val REPORT_INTERVAL_MS = 250.0
        const val EVENT_INTERVAL_MS = 300.0
        const val SAMPLE_INTERVAL_MS = 50.0
        const val MS_PER_SECOND = 1_000.0
        const val NETWORK_MS = 1.0
        const val MAX_ATTEMPTS = 2
        const val CHOICE_SEED = 0x5DEECE66DL
        const val CALLER_SEED = 0x2545F491L
    }
}
