/*
 * The control role of a deployment without agents, whose backend servers announce themselves: a member of the
 * replicated log that admits and replaces members without an operator, maintains the directory of backend servers, and
 * orders engines into groups while it leads. All state is confined to the control thread.
 */
package org.bramleyspur.daemon.process

import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.CoalescedTask
import org.bramleyspur.core.time.LoopLag
import org.bramleyspur.daemon.controlplane.ControlPlaneCall
import org.bramleyspur.daemon.controlplane.ControlPlaneCalls
import org.bramleyspur.daemon.controlplane.ControlPlaneDecoder
import org.bramleyspur.daemon.controlplane.ControlPlaneServer
import org.bramleyspur.daemon.directory.ControlDirectory
import org.bramleyspur.daemon.directory.ControlDirectoryContext
import org.bramleyspur.daemon.directory.DirectoryCalls
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.member.ControlNodeListener
import org.bramleyspur.daemon.member.LogMember
import org.bramleyspur.daemon.member.LogMemberSettings
import org.bramleyspur.daemon.member.PeerService
import org.bramleyspur.daemon.operator.AgentlessOperatorCalls
import org.bramleyspur.daemon.orders.DemandDriver
import org.bramleyspur.daemon.orders.DemandMetrics
import org.bramleyspur.daemon.orders.EngineCalls
import org.bramleyspur.daemon.orders.EngineDialect
import org.bramleyspur.daemon.orders.GroupDriver
import org.bramleyspur.daemon.orders.OrderSender
import org.bramleyspur.daemon.orders.SlowMemberMetrics
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FileSystem
import java.nio.file.Path

/**
 * Settings of an [AgentlessControlProcess].
 *
 * @property listenAddress address for the other processes of the system
 * @property controlPlaneAddress address for backend servers and operators
 * @property metricsAddress address of `/metrics`, or null
 * @property dataDir data directory of the replicated log
 * @property seeds `host:port` at which the other processes reach the first control instances
 * @property bootstrap whether the whole system starts for the first time
 * @property toleratedFailures number of simultaneous failures of control instances to tolerate
 * @property regions region of each data centre of the deployment; empty if they are not known
 * @property sharedLoad whether entries are told what the others have sent to each backend server
 * @property demandTargets whether the numbers of groups follow the measured demand for each model
 * @property replacesSlowMembers whether spares replace members that slow their group down
 */
data class AgentlessControlSettings(
    val instance: String,
    val listenAddress: Address,
    val controlPlaneAddress: Address,
    val metricsAddress: Address?,
    val dataDir: String,
    val seeds: List<String>,
    val bootstrap: Boolean,
    val toleratedFailures: Int,
    val regions: ImmutableMap<String, String> = persistentMapOf(),
    val sharedLoad: Boolean = false,
    val demandTargets: Boolean = false,
    val replacesSlowMembers: Boolean = false,
) {
    /** Number of voters of the log: a majority remains after [toleratedFailures] failures. */
    val voterCount: Int get() = (2 * toleratedFailures + 1).coerceIn(1, MAX_VOTERS)

    private companion object {
        const val MAX_VOTERS = 7
    }
}

/** Call, document and engine formats that an adapter supplies to a control instance. */
class ControlDialect(
    val decodeCall: ControlPlaneDecoder,
    val decodeDocument: DocumentDecoder,
    val engines: EngineDialect,
)

/**
 * A control instance of a deployment without agents; [ControlProcess] is that of a deployment with agents.
 *
 * @property openDirectory opens the data directory; may throw
 */
class AgentlessControlProcess(
    private val settings: AgentlessControlSettings,
    dialect: ControlDialect,
    private val log: DecisionLog,
    openDirectory: (Path) -> FileSystem = ::DiskFileSystem,
) : RoleProcess,
    ControlNodeListener {
    private val loops = EventLoops()
    private val timers = loops.controlTimers
    private val registry = PrometheusRegistry()
    private val evacuatedDataCentres = Gauge.builder()
        .name("bramleyspur_control_evacuated_data_centres")
        .help("Data centres whose backend servers get no requests, as far as this control instance knows.")
        .register(registry)
    private val lag = LoopLag(timers) { log.write("control-late", "lag_ms" to it) }
    private val planning = CoalescedTask(timers, ::plan)
    private val member = LogMember(
        LogMemberSettings(
            settings.listenAddress.toString(),
            settings.dataDir,
            settings.seeds,
            settings.bootstrap,
            settings.voterCount,
        ),
        loops.controlGroup,
        timers,
        log,
        openDirectory,
        this,
    ) { directory.controlAddresses }
    private val directory: ControlDirectory = ControlDirectory(
        settings.instance,
        settings.listenAddress.toString(),
        settings.seeds,
        loops.controlGroup,
        timers,
        log,
        ControlDirectoryContext(
            document = { member.node?.state?.document },
            evacuations = { member.node?.state?.evacuations ?: Evacuations() },
            confirmed = { member.node?.leadingTerm() != null },
            members = member::memberAddresses,
            onEntryReport = { groupDriver.onEntryReport(it) },
            onBackendChanged = { planning.request() },
            sharedLoad = settings.sharedLoad,
        ),
    )
    private val groupDriver = GroupDriver(
        timers,
        OrderSender(loops.controlGroup, timers, dialect.engines).let {
            EngineCalls(it::send, it::probe, it::closeAllExcept)
        },
        dialect.decodeDocument,
        log,
        { lag.recentMs() },
        { planning.request() },
        if (settings.demandTargets) DemandDriver(timers, log, DemandMetrics(registry)) else null,
        if (settings.replacesSlowMembers) SlowMemberMetrics(registry) else null,
    )
    private val calls = ControlPlaneCalls(
        settings.listenAddress.toString(),
        directory,
        log,
        settings.regions.keys,
    ) { member.node }
    private val controlPlane = ControlPlaneServer(dialect.decodeCall, ::onCallFailure, ::onCallDropped, calls::handle)
    private val platform = PlatformServer(::readiness, registry)
    private val internalServer = buildServer(
        settings.listenAddress,
        loops.controlGroup,
        listOf(
            PeerService(member::receive).bindService(),
            DirectoryCalls(directory, log) { member.node }.bindService(),
            operatorCalls().bindService(),
        ),
    )

    private fun operatorCalls() =
        AgentlessOperatorCalls(settings.regions.keys, { directory.evacuationRevisions }) { member.node }

    @Volatile
    private var stopping = false

    /** Starts the servers, the log and the periodic tasks. */
    fun start() {
        internalServer.listen(settings.listenAddress)
        controlPlane.start(settings.controlPlaneAddress, loops.controlGroup)
        settings.metricsAddress?.let { platform.start(it, loops.controlGroup) }
        loops.control.submit {
            member.start()
            directory.start()
            lag.start()
            timers.every(PLAN_INTERVAL_MS) { planning.request() }
            timers.every(EXPIRY_INTERVAL_MS) { expireBackends() }
        }.get()
        log.write("started", "role" to "control", "instance" to settings.instance, "bootstrap" to settings.bootstrap)
    }

    /** Replaces the seeds. */
    fun replaceSeeds(seeds: List<String>) = loops.control.execute { directory.replaceSeeds(seeds) }

    override fun onLeading(term: Long) {
        log.write("leading", "term" to term, "member" to member.id)
    }

    override fun onLeadershipLost() {
        log.write("leadership-lost", "member" to member.id)
    }

    override fun onStateChanged(before: ControlState, after: ControlState) {
        if (after.evacuations.revision !=
            before.evacuations.revision
        ) {
            onEvacuations(before.evacuations, after.evacuations)
        }
        val document = after.document ?: return
        if (document.version != before.document?.version) {
            log.write("document-in-force", "version" to document.version, "before" to (before.document?.version ?: 0L))
            directory.onDocument()
        }
    }

    private fun onEvacuations(before: Evacuations, after: Evacuations) {
        after.changesSince(before).forEach {
            log.write(
                "evacuation",
                "data_centre" to it.dataCentre,
                "change" to if (it.begun) "begun" else "ended",
                "revision" to after.revision,
                "since_ms" to it.evacuation.startedAtMs,
            )
        }
        evacuatedDataCentres.set(after.byDataCentre.size.toDouble())
        directory.onEvacuations()
        planning.request()
    }

    private fun expireBackends() {
        directory.expire()
        groupDriver.closeAllExcept(directory.backends.backends)
    }

    private fun plan() {
        val current = member.node ?: return
        groupDriver.plan(
            current.leadingTerm(),
            current.state.document,
            directory.backends.backends,
            current.state.evacuations.byDataCentre.keys,
        )
    }

    private fun onCallFailure(cause: Throwable) = log.write("call-failed", "reason" to cause.toString())

    private fun onCallDropped(call: ControlPlaneCall) = log.write("call-dropped", "call" to call.toString())

    private fun readiness() = Readiness(!stopping, if (stopping) "stopping" else "ready")

    override fun beginStop() {
        stopping = true
    }

    override fun closeListeners() = Unit

    override fun isDrained() = true

    override fun close() {
        loops.control.submit { member.closeLog() }.get()
        member.close()
        internalServer.shutdownNow()
        controlPlane.close()
        platform.close()
        loops.close()
    }

    private companion object {
        /** Interval for orders and timeouts of groups; an announcement triggers planning at once. */
        const val PLAN_INTERVAL_MS = 100L
        const val EXPIRY_INTERVAL_MS = 5_000L
    }
}
