package org.bramleyspur.daemon.forward

import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.cold.ColdDecision
import org.bramleyspur.traffic.evacuation.EvacuationView
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.RouteTargets
import org.bramleyspur.traffic.forward.ServerPool
import org.bramleyspur.traffic.forward.WaitLimits
import org.bramleyspur.traffic.forward.WindowedRetryBudget
import org.bramleyspur.traffic.forward.chooseBackend
import org.bramleyspur.traffic.forward.firstEventMs
import org.bramleyspur.traffic.forward.fitsMemory
import org.bramleyspur.traffic.forward.generationCost
import org.bramleyspur.traffic.forward.longestEventIntervalMs
import org.bramleyspur.traffic.forward.plainResponseMs
import org.bramleyspur.traffic.forward.stepMs
import org.bramleyspur.traffic.homes.Homes
import org.bramleyspur.traffic.load.RequestSize
import org.bramleyspur.traffic.load.ServerLoad
import org.bramleyspur.traffic.load.SharedServer
import org.bramleyspur.traffic.load.UnseenTime
import org.bramleyspur.traffic.load.chooseByRoom
import org.bramleyspur.traffic.load.meanSize
import org.bramleyspur.traffic.quarantine.EngineLife
import java.util.random.RandomGenerator

/**
 * A backend server that was chosen for an attempt.
 *
 * @property predictedMs predicted time in milliseconds to its response or first event
 * @property eventIntervalMs predicted time in milliseconds between events, without the observed slowdown; null for
 * plain services
 * @property longestEventIntervalMs longest predicted time in milliseconds between events, without the observed
 * slowdown; null for plain services
 * @property prefillMs the part of [predictedMs] that the prefill of the request's own prompt takes
 * @property firstEventExcessMs average excess in milliseconds of the backend server's recent first events
 */
internal class BackendChoice(
    val load: BackendLoad,
    val predictedMs: Double,
    val eventIntervalMs: Double?,
    val longestEventIntervalMs: Double? = null,
    private val prefillMs: Double = 0.0,
    private val firstEventExcessMs: Double = 0.0,
) {
    /** [predictedMs] plus the average excess of the backend server's recent first events. */
    val expectedMs: Double get() = predictedMs + firstEventExcessMs

    /** The part of [expectedMs] that does not depend on the length of the prompt. */
    val waitMs: Double get() = expectedMs - prefillMs
}

/** Size of a generation in tokens; zero for a plain request. */
internal class TokenCounts(val prompt: Long, val output: Long)

/**
 * The backend servers among which one is chosen.
 *
 * @property unresponsiveToo whether an engine may be chosen that was found unresponsive and has sent nothing since
 * @property homes regions whose backend servers may be chosen
 * @property allows whether the backend server with this id may be chosen
 */
internal class BackendFilter(
    val unresponsiveToo: Boolean = false,
    val homes: Homes = Homes.ANY,
    val allows: (id: String) -> Boolean,
)

/** State that the requests of an entry share. Confined to the traffic thread. */
internal class ForwardContext(
    val timers: TimerService,
    val headers: ForwardHeaders,
    val loads: BackendLoads,
    val log: DecisionLog,
    val metrics: ForwardMetrics,
    val promptParts: PromptPartGuard,
    private val dataCentre: String,
    private val random: RandomGenerator,
    private val onUnresponsive: () -> Unit,
    private val regions: Map<String, String> = emptyMap(),
    coldSettings: ColdSettings? = null,
    private val newBudget: () -> WindowedRetryBudget,
) {
    /** The announced backend servers. */
    var directory = BackendDirectory()

    /** Routes of the current configuration document; null before the first one. */
    var routes: RouteTable? = null

    /** Whether the document may be outdated, since the entry has just started and awaits the leader's word on it. */
    var awaitsConfiguration = false

    /** Routes by which requests are admitted; null while none are known, or while they may be outdated. */
    val admissionRoutes: RouteTable? get() = routes?.takeIf { !awaitsConfiguration }

    /** The evacuated data centres, and whether requests await the leader's word on them after a start. */
    var evacuations = EvacuationView()
    var awaitsEvacuations = false

    /** Admission of requests that compete for room; null if each is decided on by itself. */
    var pressure: PressureAdmission? = null

    /** Paces what is sent just after an outage; null if it is sent at once. */
    var pacing: ReturnPacing? = null

    /** What other entries have sent to the engines; null if entries do not share it. */
    var sharedLoad: SharedLoad? = null

    /** Which backend servers accept requests, according to their responses. */
    val availability = BackendAvailability(timers, headers, log, metrics)

    /** Which backend servers are cold, and what may be sent to them. */
    val cold = ColdServers(coldSettings, timers, headers.coldRemainingMs, { directory })

    /** Counts what is asked of each model; null if control does not ask for it. */
    var demand: DemandCounters? = null

    /** Since when requests cannot be forwarded. */
    val outages = OutageTracker(timers)
    private var waitLimits = WaitLimits()
    private val budgets = HashMap<String, WindowedRetryBudget>()

    /** Records that a request for a stream has arrived. */
    fun onStreamRequest(request: AdmittedRequest) {
        waitLimits = waitLimits.with(poolOf(request), request.route.name, targetsOf(request), timers.nowMs())
    }

    /** Longest acceptable queueing time of the stream of [request] before its first event, in milliseconds. */
    fun maxWaitMs(request: AdmittedRequest): Double = waitLimits.limitMs(poolOf(request), targetsOf(request))

    /** A model that the service does not have names no pool of its own: callers may name any number of them. */
    fun poolOf(request: AdmittedRequest): ServerPool {
        val model = request.model?.takeIf { name -> request.service.models.any { it.name == name } }
        return ServerPool(request.service.name, model)
    }

    private fun targetsOf(request: AdmittedRequest) =
        RouteTargets(request.route.targetLatencyMs, request.route.priority)

    /** Records that a backend server stopped responding or accepts no connection, and reports it. */
    fun markUnresponsive(load: BackendLoad) {
        load.onUnresponsive(timers.nowMs())
        onUnresponsive()
    }

    /** Records that [load] sent response data, and reports it if it had been found unresponsive. */
    fun onResponseData(load: BackendLoad) {
        val silentMs = load.onResponseData(timers.nowMs()) ?: return
        metrics.onBackendResumed()
        log.write("backend-resumed", "id" to load.id, "silent_ms" to silentMs, "streams" to load.activeStreams)
    }

    /** Whether requests may be sent to the backend servers of a data centre. */
    private fun allows(announcement: Announcement): Boolean =
        (!awaitsEvacuations || evacuations.usable(outages.uptimeMs)) && evacuations.allows(announcement.dataCentre)

    /** Whether a request of [service] may be sent to a backend server now. */
    private fun BackendFilter.accepts(service: DocumentService, announcement: Announcement): Boolean =
        allows(announcement.id) && homes.allows(regions[announcement.dataCentre]) && allows(announcement) &&
            availability.accepts(announcement) && cold.held(service, announcement.id) == null

    /** Whether [request] has regions of its own, and none of the backend servers that serve such requests is there. */
    fun isOutsideHomes(request: AdmittedRequest): Boolean {
        val servers = serversOf(request.service, request.model)
        return servers.isNotEmpty() && servers.none { request.homes.allows(regions[it.dataCentre]) }
    }

    /**
     * The cold backend server other than [tried] to which [request] may be sent first, and when; null if one is not
     * held back, or if none is in use.
     */
    fun firstHeld(request: AdmittedRequest, tried: Set<String>): Pair<String, ColdDecision.Held>? {
        val usable = serversOf(request.service, request.model)
            .filter { request.homes.allows(regions[it.dataCentre]) && allows(it) && availability.accepts(it) }
        return cold.firstHeld(request.service, usable.map { it.id }.filter { it !in tried })
    }

    /**
     * Whether all backend servers that could serve [request] are in evacuated data centres. Engines of the others that
     * are enough for a group form one soon, so a request may wait for them.
     */
    fun isEvacuated(request: AdmittedRequest): Boolean {
        if (evacuations.dataCentres.isEmpty()) return false
        val service = request.service
        val servers = serversOf(service, request.model).filter { request.homes.allows(regions[it.dataCentre]) }
        if (servers.isEmpty() || servers.any { evacuations.allows(it.dataCentre) }) return false
        val groupSize = service.models.firstOrNull { it.name == request.model }?.groupSize ?: return true
        val others = directory.backends.values.map { it.announcement }
            .filter { it.service == service.name && it.state == BackendState.READY }
            .count { evacuations.allows(it.dataCentre) && request.homes.allows(regions[it.dataCentre]) }
        return others < groupSize
    }

    /** Number of backend servers in use that serve such a request, whether they accept one now or not. */
    fun serverCount(service: DocumentService, model: String?): Int =
        serversOf(service, model).count { evacuations.allows(it.dataCentre) }

    /** [baseMs], or a time about it so that callers who were refused together do not return together. */
    fun retryAfterMs(baseMs: Long): Long =
        if (pressure == null) baseMs else (baseMs * (MIN_RETURN_SHARE + randomFraction())).toLong()

    /** Whether [request] is larger than the memory of any engine of its service. */
    fun exceedsMemory(request: AdmittedRequest): Boolean {
        val memory = request.service.costs?.kvCacheTokens ?: 0
        return memory > 0 && request.tokens.prompt + request.tokens.output > memory
    }

    /** Announcements of the backend servers that serve such a request, whether they accept one now or not. */
    private fun serversOf(service: DocumentService, model: String?): List<Announcement> {
        if (service.costs == null || model == null) return directory.readyPlainBackends(service.name)
        val modelSpec = service.models.firstOrNull { it.name == model } ?: return emptyList()
        return directory.openGroupHeads(service.name, model, modelSpec.groupSize).map { it.announcement }
    }

    /**
     * Time in milliseconds until a backend server accepts such a request again; null if one does now, or if all are
     * leaving, unknown or in evacuated data centres.
     */
    fun backoffMs(service: DocumentService, model: String?): Long? =
        availability.backoffMs(serversOf(service, model).filter { evacuations.allows(it.dataCentre) })

    /** Forgets what responses said about further requests, as far as it has expired. */
    fun expireBackoff() {
        availability.expire(directory.backends.values.map { it.announcement })
        cold.expire()
    }

    /** The life of the backend server [id] that is announced now. */
    fun engineLife(id: String): EngineLife =
        EngineLife(id, directory.backends[id]?.announcement?.startedAtMs ?: UNKNOWN_START_MS)

    /** A uniform random number from 0 (inclusive) to 1 (exclusive). */
    fun randomFraction(): Double = random.nextDouble()

    /** Retry budget of [service]. */
    fun budget(service: String): WindowedRetryBudget = budgets.getOrPut(service, newBudget)

    /** Chooses a backend server of [service] that passes [filter]; null when there is none. */
    fun choose(service: DocumentService, model: String?, tokens: TokenCounts, filter: BackendFilter): BackendChoice? {
        val costs = service.costs
        val choice = if (costs != null && model != null) {
            chooseEngine(service, costs, model, tokens, filter)
        } else {
            choosePlain(service, filter)
        }
        if (choice != null) outages.onChosen(service, model)
        return choice
    }

    private fun chooseEngine(
        service: DocumentService,
        costs: EngineCosts,
        model: String,
        tokens: TokenCounts,
        filter: BackendFilter,
    ): BackendChoice? {
        val modelSpec = service.models.firstOrNull { it.name == model } ?: return null
        val candidates = directory.openGroupHeads(service.name, model, modelSpec.groupSize)
            .filter { filter.accepts(service, it.announcement) }
            .mapNotNull { head ->
                val timeFactor = modelSpec.timeFactor * if (head.spansDomains) costs.crossDomainFactor else 1.0
                loads.loadOf(head.announcement)?.let {
                    it to candidate(it, costs.slots, timeFactor * it.slowdown, head.announcement.dataCentre)
                }
            }
            .filter { (load, candidate) ->
                filter.unresponsiveToo || !candidate.suspect || load.lastResponseMs > load.lastUnresponsiveMs
            }
            .filter { (load, own) -> fitsMemory(withOthers(load, own), tokens.prompt + tokens.output, costs) }
        val (load, own, candidate) = chooseFrom(candidates, model, tokens, costs) ?: return null
        // Silent streams are noticed by what this entry's own requests explain.
        val eventIntervalMs = costs.stepsPerPass * stepMs(own, costs) * own.timeFactor / load.slowdown
        val prefillMs = candidate.timeFactor * tokens.prompt / costs.prefillTokensPerMs
        val longestEventIntervalMs = longestEventIntervalMs(own, tokens.prompt, costs) / load.slowdown
        return BackendChoice(
            load,
            firstEventMs(candidate, tokens.prompt, costs),
            eventIntervalMs,
            longestEventIntervalMs,
            prefillMs,
            candidate.firstEventExcessMs,
        )
    }

    private fun choosePlain(service: DocumentService, filter: BackendFilter): BackendChoice? {
        val candidates = directory.readyPlainBackends(service.name)
            .filter { filter.accepts(service, it) }
            .mapNotNull { backend ->
                loads.loadOf(backend)?.let { it to candidate(it, maxOf(1, backend.slots), 1.0, backend.dataCentre) }
            }
        val (load, candidate) = chooseFrom(candidates) { plainResponseMs(it, TYPICAL_PLAIN_REQUEST_MS) } ?: return null
        return BackendChoice(load, plainResponseMs(candidate, TYPICAL_PLAIN_REQUEST_MS), eventIntervalMs = null)
    }

    private fun chooseFrom(
        candidates: List<Pair<BackendLoad, Candidate>>,
        cost: (Candidate) -> Double,
    ): Pair<BackendLoad, Candidate>? {
        val chosen = chooseBackend(candidates.map { it.second }, randomFraction(), cost)
        return candidates.firstOrNull { it.second === chosen }
    }

    /** A chosen engine as this entry sees it, and as it is expected with the work of all entries. */
    private data class ChosenEngine(val load: BackendLoad, val own: Candidate, val expected: Candidate)

    /** Chooses an engine: by the work of all entries if that is known, else by what this entry knows by itself. */
    private fun chooseFrom(
        candidates: List<Pair<BackendLoad, Candidate>>,
        model: String,
        tokens: TokenCounts,
        costs: EngineCosts,
    ): ChosenEngine? {
        val cost = { candidate: Candidate ->
            generationCost(candidate, tokens.prompt, tokens.output, costs) + candidate.firstEventExcessMs
        }
        val ageMs = sharedLoad?.dataAgeMs()
            ?: return chooseFrom(candidates, cost)?.let { (load, own) -> ChosenEngine(load, own, own) }
        val shared = candidates.map { (load, own) -> SharedServer(withOthers(load, own), load.work) }
        sharedLoad?.onCandidates(model, shared.map { it.reported })
        // What other requests take does not depend on the size of this one.
        val work = candidates.map { (load, _) -> load.work + (sharedLoad?.othersAt(load.id) ?: ServerLoad()) }
        val size = meanSize(work, costs) ?: RequestSize(tokens.prompt, tokens.output)
        val choice = chooseByRoom(shared, randomFraction(), UnseenTime(ageMs, size, costs), cost) ?: return null
        val (load, own) = candidates[shared.indexOf(choice.server)]
        return ChosenEngine(load, own, choice.expected)
    }

    /** [own] with the work of the other entries, as far as it is known. */
    private fun withOthers(load: BackendLoad, own: Candidate): Candidate {
        val others = sharedLoad?.othersAt(load.id) ?: return own
        return own.copy(
            running = maxOf(own.running, load.inFlight + others.inFlight),
            pendingPrefillTokens = own.pendingPrefillTokens + others.pendingPrefillTokens,
            contextTokens = own.contextTokens + others.contextTokens,
        )
    }

    private fun candidate(load: BackendLoad, slots: Int, timeFactor: Double, backendDataCentre: String): Candidate {
        val now = timers.nowMs()
        return Candidate(
            id = load.id,
            running = load.estimatedRunning(now),
            slots = slots,
            pendingPrefillTokens = load.pendingPrefillTokens,
            contextTokens = load.contextTokens,
            timeFactor = timeFactor,
            roundTripMs = if (backendDataCentre == dataCentre) 0.0 else REMOTE_ROUND_TRIP_MS,
            suspect = now < load.suspectUntilMs,
            firstEventExcessMs = load.firstEventExcessMs(now),
        )
    }

    /** Urgency of a request: the account's priority or else the route's, limited to what backend servers accept. */
    fun urgency(route: DocumentRoute, accountPriority: Int?): Int =
        (accountPriority ?: route.priority).coerceIn(0, LOWEST_URGENCY)

    private companion object {
        const val UNKNOWN_START_MS = 0L
        const val MIN_RETURN_SHARE = 0.5

        /** Typical round trip between data centres of one region. */
        const val REMOTE_ROUND_TRIP_MS = 10.0

        /** Typical processing time of a plain request; only its ratio to [REMOTE_ROUND_TRIP_MS] affects the choice. */
        const val TYPICAL_PLAIN_REQUEST_MS = 40.0

        /** Backend servers accept ranks from 0, the most urgent, to this one. */
        const val LOWEST_URGENCY = 9
    }
}
