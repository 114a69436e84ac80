package org.bramleyspur.daemon.forward

import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.SecondSendBudget
import org.bramleyspur.traffic.forward.chooseBackend
import org.bramleyspur.traffic.forward.firstEventMs
import org.bramleyspur.traffic.forward.generationCost
import org.bramleyspur.traffic.forward.longestPassMs
import org.bramleyspur.traffic.forward.plainAnswerMs
import org.bramleyspur.traffic.forward.stepMs
import java.util.random.RandomGenerator

/**
 * A chosen backend server.
 *
 * @property predictedMs predicted time in milliseconds to its answer or first event
 * @property passMs predicted time in milliseconds between events, without the observed pace; null for plain services
 * @property longestPassMs longest time in milliseconds between events, without the observed pace; null for plain
 * services
 * @property readingMs the part of [predictedMs] in which the request's own prompt is read
 */
internal class Choice(
    val load: BackendLoad,
    val predictedMs: Double,
    val passMs: Double?,
    val longestPassMs: Double? = null,
    private val readingMs: Double = 0.0,
) {
    /** [predictedMs] with what the backend server's first events have lately taken beyond their prediction. */
    val expectedMs: Double get() = predictedMs + load.firstExcessMs

    /** The part of [expectedMs] that does not depend on the length of the prompt. */
    val waitMs: Double get() = expectedMs - readingMs
}

/** The size of a generation in tokens; none for a plain request. */
internal class TokenCounts(val prompt: Long, val output: Long)

/** What the requests of an entry share. Used by the traffic thread. */
internal class ForwardContext(
    val timers: TimerService,
    val headers: ForwardHeaders,
    val loads: BackendLoads,
    val log: DecisionLog,
    val metrics: ForwardMetrics,
    private val dataCentre: String,
    private val random: RandomGenerator,
    private val onSilent: () -> Unit,
    private val newBudget: () -> SecondSendBudget,
) {
    /** Backend servers as of the last announcement. */
    var directory = BackendDirectory()

    /** Routes of the document in force; null before the first one. */
    var routes: RouteTable? = null
    private val budgets = HashMap<String, SecondSendBudget>()

    /** Notes that a backend server stopped answering, or accepts no connection. */
    fun noteSilent(load: BackendLoad) {
        load.onSilent(timers.nowMs())
        onSilent()
    }

    /** Uniform in 0 until 1. */
    fun point(): Double = random.nextDouble()

    /** Budget of second sends to [service]. */
    fun budget(service: String): SecondSendBudget = budgets.getOrPut(service, newBudget)

    /** Chooses a backend server of [service] for a request, not one of [tried] if there is another. */
    fun choose(service: DocumentService, model: String?, tokens: TokenCounts, tried: Set<String>): Choice? {
        val costs = service.costs
        return if (costs != null && model != null) {
            chooseHead(service, costs, model, tokens, tried)
        } else {
            choosePlain(service, tried)
        }
    }

    private fun chooseHead(
        service: DocumentService,
        costs: EngineCosts,
        model: String,
        tokens: TokenCounts,
        tried: Set<String>,
    ): Choice? {
        val modelSpec = service.models.firstOrNull { it.name == model } ?: return null
        val known = directory.openGroupHeads(service.name, model, modelSpec.groupSize).filter {
            it.announcement.id !in
                tried
        }
            .mapNotNull { head ->
                val factor = modelSpec.timeFactor * if (head.spansDomains) costs.crossDomainFactor else 1.0
                loads.of(head.announcement)?.let {
                    it to candidate(it, costs.slots, factor * it.pace, head.announcement.dataCentre)
                }
            }.filter { (load, own) -> !own.suspect || load.answeredMs > load.silentMs }
        val (load, own) = pick(known) { generationCost(it, tokens.prompt, tokens.output, costs) + it.excessMs }
            ?: return null
        val passMs = costs.stepsPerPass * stepMs(own, costs) * own.timeFactor / load.pace
        val readingMs = own.timeFactor * tokens.prompt / costs.prefillTokensPerMs
        val longestPassMs = longestPassMs(own, tokens.prompt, costs) / load.pace
        return Choice(load, firstEventMs(own, tokens.prompt, costs), passMs, longestPassMs, readingMs)
    }

    private fun choosePlain(service: DocumentService, tried: Set<String>): Choice? {
        val known = directory.readyPlainBackends(service.name).map { it.announcement }.filter { it.id !in tried }
            .mapNotNull { backend ->
                loads.of(backend)?.let { it to candidate(it, maxOf(1, backend.slots), 1.0, backend.dataCentre) }
            }
        val (load, own) = pick(known) { plainAnswerMs(it, PLAIN_WORK_MS) } ?: return null
        return Choice(load, plainAnswerMs(own, PLAIN_WORK_MS), passMs = null)
    }

    private fun pick(
        known: List<Pair<BackendLoad, Candidate>>,
        cost: (Candidate) -> Double,
    ): Pair<BackendLoad, Candidate>? {
        val chosen = chooseBackend(known.map { it.second }, point(), cost)
        return known.firstOrNull { it.second === chosen }
    }

    private fun candidate(load: BackendLoad, slots: Int, factor: Double, backendDataCentre: String): Candidate {
        val now = timers.nowMs()
        return Candidate(
            id = load.id,
            running = load.running(now),
            slots = slots,
            unreadTokens = load.unreadTokens,
            contextTokens = load.contextTokens,
            timeFactor = factor,
            distanceMs = if (backendDataCentre == dataCentre) 0.0 else REMOTE_MS,
            suspect = now < load.suspectUntilMs,
            excessMs = load.firstExcessMs,
        )
    }

    /** Highest rank that a backend server knows; requests of a less urgent route have it too. */
    fun urgency(route: DocumentRoute, accountPriority: Int?): Int =
        (accountPriority ?: route.priority).coerceIn(0, MAX_URGENCY)

    private companion object {
        /** Round trip between data centres of one region. */
        const val REMOTE_MS = 10.0

        /** Typical work of a plain call; only its ratio to [REMOTE_MS] matters for the choice. */
        const val PLAIN_WORK_MS = 40.0
        const val MAX_URGENCY = 9
    }
}
