/*
 * The entry role of a deployment without agents, whose backend servers announce themselves: forwards callers' requests
 * over HTTP directly to the backend servers. All state is confined to the traffic thread.
 */
package org.bramleyspur.daemon.process

import com.github.michaelbull.result.getOrElse
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.wire.renewAll
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.directory.DirectoryClient
import org.bramleyspur.daemon.directory.toLoads
import org.bramleyspur.daemon.directory.toMessage
import org.bramleyspur.daemon.directory.toModel
import org.bramleyspur.daemon.forward.BackendLoads
import org.bramleyspur.daemon.forward.ColdSettings
import org.bramleyspur.daemon.forward.DemandCounters
import org.bramleyspur.daemon.forward.ForwardContext
import org.bramleyspur.daemon.forward.ForwardHeaders
import org.bramleyspur.daemon.forward.ForwardMetrics
import org.bramleyspur.daemon.forward.FrontServer
import org.bramleyspur.daemon.forward.PressureAdmission
import org.bramleyspur.daemon.forward.PromptPartGuard
import org.bramleyspur.daemon.forward.ReturnPacing
import org.bramleyspur.daemon.forward.SharedLoad
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.protocol.BackendAnnouncement
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.traffic.evacuation.EvacuationView
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.WindowedRetryBudget
import org.bramleyspur.traffic.quarantine.PartObservation
import java.util.random.RandomGenerator
import org.bramleyspur.daemon.directory.toMessages as toWorkMessages

/**
 * Settings of an [AgentlessEntryProcess].
 *
 * @property frontAddress address for callers
 * @property readyAddress address of the load balancer's readiness check and of `/metrics`
 * @property readyPath path of the load balancer's readiness check
 * @property metricsAddress second address of `/metrics`, or null
 * @property seeds `host:port` at which entries reach the control instances
 * @property retryBudgetRatio retries allowed per request, over all entries
 * @property retryBudgetSlack retries allowed per window in addition, over all entries
 * @property retryBudgetWindowMs length of the window in milliseconds
 * @property stopTimeoutMs time in milliseconds from SIGTERM to the end of the process
 * @property evacuations whether operators evacuate data centres, so that an entry awaits the leader's word at its start
 * @property regions region of each data centre of the deployment; empty if they are not known
 * @property pressureAdmission whether requests that compete for room are admitted by what can still be in time
 * @property sharedLoad whether entries tell each other, through control, what they have sent to each backend server
 * @property pacesReturn whether streams that are late after an outage give way to those in time
 * @property demandTargets whether control is told what is asked of each model
 * @property cold how requests to cold backend servers are bounded; null when they are not
 */
data class AgentlessEntrySettings(
    val instance: String,
    val dataCentre: String,
    val frontAddress: Address,
    val readyAddress: Address,
    val readyPath: String,
    val metricsAddress: Address?,
    val seeds: List<String>,
    val retryBudgetRatio: Double,
    val retryBudgetSlack: Double,
    val retryBudgetWindowMs: Long,
    val stopTimeoutMs: Long,
    val evacuations: Boolean = false,
    val regions: ImmutableMap<String, String> = persistentMapOf(),
    val pressureAdmission: Boolean = false,
    val sharedLoad: Boolean = false,
    val pacesReturn: Boolean = false,
    val demandTargets: Boolean = false,
    val cold: ColdSettings? = null,
)

/** Header names and document format that an adapter supplies to an entry. */
class EntryDialect(val headers: ForwardHeaders, val decodeDocument: DocumentDecoder)

/** An entry of a deployment without agents; [EntryProcess] is that of a deployment with agents. */
class AgentlessEntryProcess(
    private val settings: AgentlessEntrySettings,
    private val dialect: EntryDialect,
    private val log: DecisionLog,
) : RoleProcess {
    private val loops = EventLoops()
    private val timers = loops.trafficTimers
    private val registry = PrometheusRegistry()
    private var entryCount = 0
    private val loads = BackendLoads(loops.trafficGroup, timers, dialect.headers)
    private val random = RandomGenerator.getDefault()
    private val pendingObservations = ArrayList<PartObservation>()
    private val promptParts = PromptPartGuard(timers, log, delayFactor = 1 + random.nextDouble(), ::publish)
    private val metrics = ForwardMetrics(registry)
    private val context = ForwardContext(
        timers,
        dialect.headers,
        loads,
        log,
        metrics,
        promptParts,
        settings.dataCentre,
        random,
        onUnresponsive = { onUnresponsive() },
        settings.regions,
        settings.cold,
    ) {
        WindowedRetryBudget(settings.retryBudgetRatio, settings.retryBudgetSlack, settings.retryBudgetWindowMs) {
            entryCount
        }
    }
    init {
        context.awaitsConfiguration = true
        context.awaitsEvacuations = settings.evacuations
        if (settings.pressureAdmission) {
            context.pressure = PressureAdmission(timers, metrics, { maxOf(1, entryCount) }, random::nextDouble) {
                context.sharedLoad?.dataAgeMs() != null
            }
        }
        if (settings.sharedLoad) context.sharedLoad = SharedLoad(timers, log, metrics)
        // Admission under pressure paces the return by its own predictions.
        if (settings.pacesReturn && !settings.pressureAdmission) {
            context.pacing = ReturnPacing(timers, metrics, { maxOf(1, entryCount) }, random::nextDouble)
        }
        if (settings.demandTargets) context.demand = DemandCounters()
    }

    private val front = FrontServer(loops.trafficGroup, context)
    private val platform = PlatformServer(::readiness, registry, settings.readyPath)
    private val directoryClient =
        DirectoryClient(loops.trafficGroup, timers, settings.seeds, null, ::report, ::withWork, ::onEvent)

    /** Only the leader sums up the work of the entries. */
    private fun withWork(report: DirectoryRequest): DirectoryRequest {
        if (context.sharedLoad == null) return report
        return report.toBuilder().addAllWork(loads.engineWork().toWorkMessages()).build()
    }

    /** Reports an unresponsive backend server to the control instances at once. */
    private fun onUnresponsive() = directoryClient.sendReports()

    private fun publish(observations: List<PartObservation>) {
        pendingObservations += observations
        directoryClient.sendReports()
    }

    private val startedAtMs = timers.nowMs()
    private val startedAtUnixMs = System.currentTimeMillis()
    private var leaderConfirmed = false
    private var lastStallCheckMs = startedAtMs

    @Volatile
    private var stopping = false

    @Volatile
    private var configurationUsable = false

    /** Starts the listeners, the connections to the control instances and the periodic tasks. */
    fun start() {
        platform.start(settings.readyAddress, loops.trafficGroup)
        settings.metricsAddress?.let { platform.start(it, loops.trafficGroup) }
        loops.traffic.submit {
            context.cold.start()
            directoryClient.start()
            timers.every(EXPIRY_INTERVAL_MS) { expireBackends() }
            timers.every(STALL_CHECK_INTERVAL_MS) { reportStalled() }
        }.get()
        front.start(settings.frontAddress)
        log.write("started", "role" to "entry", "instance" to settings.instance)
    }

    /** Reports backend servers with stalled streams to the control instances, before requests to them time out. */
    private fun reportStalled() {
        val nowMs = timers.nowMs()
        val late = nowMs - lastStallCheckMs > 2 * STALL_CHECK_INTERVAL_MS
        lastStallCheckMs = nowMs
        // While this thread was late, events may have arrived that it reads only after this check.
        if (late) return
        val stalled = loads.markStalled()
        stalled.forEach {
            log.write(
                "backend-quiet",
                "id" to it.id,
                "quiet_ms" to timers.nowMs() - it.lastResponseMs,
                "streams" to it.activeStreams,
                "pace" to it.slowdown,
            )
        }
        if (stalled.isNotEmpty()) onUnresponsive()
    }

    /** Replaces the seeds. */
    fun replaceSeeds(seeds: List<String>) = loops.traffic.execute { directoryClient.replaceSeeds(seeds) }

    private fun report(first: Boolean): DirectoryRequest {
        updateConfigurationUsable()
        val report = DirectoryRequest.newBuilder()
        if (first) {
            report.addAllAnnouncements(context.directory.toMessages(timers.nowMs()))
            report.addAllPromptParts(promptParts.observations().map { it.toMessage() })
        } else {
            report.addAllPromptParts(pendingObservations.map { it.toMessage() })
            pendingObservations.clear()
        }
        context.demand?.let {
            report.setStartedAtMs(startedAtUnixMs).addAllDemand(it.toMessages(context.routes?.document))
        }
        return report
            .setInstance(settings.instance)
            .setDocumentVersion(context.routes?.version ?: 0)
            .setEntry(true)
            .setEvacuationRevision(context.evacuations.revision)
            .addAllAnsweringBackends(loads.responding(RESPONDING_WINDOW_MS))
            .addAllSilentBackends(loads.unresponsive(UNRESPONSIVE_WINDOW_MS))
            .build()
    }

    /**
     * The first document that a new entry receives may be outdated. The entry therefore accepts requests only after an
     * event of the leader, or once it has waited for the leader for [LEADER_WAIT_MS].
     */
    private fun updateConfigurationUsable() {
        if (configurationUsable || context.routes == null) return
        if (leaderConfirmed || timers.nowMs() - startedAtMs > LEADER_WAIT_MS) {
            configurationUsable = true
            context.awaitsConfiguration = false
            log.write("ready", "config" to context.routes?.version, "confirmed" to leaderConfirmed)
        }
    }

    private fun onEvent(address: String, event: DirectoryEvent) {
        val now = timers.nowMs()
        entryCount = maxOf(event.entries, 1)
        context.cold.onControlEvent(entryCount)
        applyEvacuations(event, address)
        if (event.confirmed) context.sharedLoad?.onLeaderEvent(event.workList.toLoads())
        event.announcementsList.forEach { recordAnnouncement(it, address, now) }
        val renewals = context.directory.renewAll(event.renewalsList, now)
        context.directory = renewals.directory
        directoryClient.requestMissing(address, renewals.missing)
        promptParts.receive(event.promptPartsList.map { it.toModel() })
        if (event.hasDocument()) applyDocument(event, address)
        if (event.confirmed && event.documentVersion <= (context.routes?.version ?: 0)) {
            leaderConfirmed = true
            updateConfigurationUsable()
        }
    }

    private fun recordAnnouncement(message: BackendAnnouncement, from: String, nowMs: Long) {
        val announcement = message.toModel(System.currentTimeMillis()).getOrElse {
            log.write("announcement-dropped", "id" to message.id, "reason" to it, "from" to from)
            return
        }
        val before = context.directory.backends[announcement.id]?.announcement
        context.directory = context.directory.withAnnouncement(announcement, nowMs - maxOf(message.ageMs, 0))
        if (before?.state != announcement.state || before.groupMembership != announcement.groupMembership) {
            log.write(
                "backend",
                "id" to announcement.id,
                "state" to announcement.state.name,
                "group" to announcement.groupMembership?.let { "${it.id.name}/${it.rank}/${it.state}" }.orEmpty(),
                "from" to from,
                "age_ms" to message.ageMs,
            )
        }
    }

    private fun applyEvacuations(event: DirectoryEvent, address: String) {
        val before = context.evacuations
        val told = event.evacuations
        context.evacuations = before.onEvent(told.revision, told.dataCentresList, event.confirmed)
        if (context.evacuations.revision == before.revision) return
        context.metrics.onEvacuations(context.evacuations.dataCentres.size)
        val after = context.evacuations.dataCentres
        logEvacuations(after - before.dataCentres, "begun", told.revision, address)
        logEvacuations(before.dataCentres - after, "ended", told.revision, address)
    }

    private fun logEvacuations(dataCentres: Set<String>, change: String, revision: Long, from: String) =
        dataCentres.forEach {
            log.write("evacuation", "data_centre" to it, "change" to change, "revision" to revision, "from" to from)
        }

    private fun applyDocument(event: DirectoryEvent, address: String) {
        val version = event.document.version
        val current = context.routes?.version
        if (current != null && current >= version) return
        val document = dialect.decodeDocument(event.document.content.toByteArray()).getOrElse {
            log.write("document-unreadable", "version" to version, "from" to address, "reason" to it.message)
            return
        }
        context.routes = RouteTable(document)
        log.write("document-in-force", "version" to version, "before" to current, "from" to address)
    }

    private fun expireBackends() {
        context.directory = context.directory.expire(timers.nowMs())
        context.expireBackoff()
        promptParts.expire()
        loads.closeAllExcept(
            context.directory.backends.filter { it.value.announcement.state != BackendState.GONE }.keys,
        )
    }

    private fun readiness(): Readiness = when {
        stopping -> Readiness(false, "stopping")
        !configurationUsable -> Readiness(false, "the configuration is not known yet")
        else -> Readiness(true, "ready")
    }

    override fun beginStop() {
        stopping = true
        loops.traffic.execute { front.beginStop(settings.stopTimeoutMs) }
    }

    override fun closeListeners() = loops.traffic.submit { front.closeListener() }.get().let { }

    override fun isDrained(): Boolean = loops.traffic.submit<Boolean> { front.drained }.get()

    override fun close() {
        platform.close()
        loops.traffic.submit { front.endRunning() }.get()
        loops.close()
    }

    private companion object {
        const val EXPIRY_INTERVAL_MS = 2_000L

        /** About the time that an engine with a slow batch takes for one generation step. */
        const val STALL_CHECK_INTERVAL_MS = 50L

        /** Covers the interval between reports; a longer window would count backend servers that no longer respond. */
        const val RESPONDING_WINDOW_MS = 300L

        /** Covers two report intervals, so that a lost report loses no observation. */
        const val UNRESPONSIVE_WINDOW_MS = 600L

        /** An election takes about a second; after this time, the followers' document is the newest available. */
        const val LEADER_WAIT_MS = EvacuationView.LEADER_WAIT_MS
    }
}
