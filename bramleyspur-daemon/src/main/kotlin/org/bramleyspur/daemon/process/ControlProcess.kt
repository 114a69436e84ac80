package org.bramleyspur.daemon.process

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.stub.StreamObserver
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.control.placement.RepairPolicy
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.member.ControlNodeListener
import org.bramleyspur.daemon.member.PeerService
import org.bramleyspur.daemon.member.PeerTransport
import org.bramleyspur.daemon.operator.OperatorService
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.daemon.session.ClaimService
import org.bramleyspur.daemon.session.LiveQueries
import org.bramleyspur.daemon.session.PlacementDriver
import org.bramleyspur.daemon.session.PlacementMetrics
import org.bramleyspur.daemon.session.SessionService
import org.bramleyspur.language.AdmitControl
import org.bramleyspur.language.EvacuateDataCentre
import org.bramleyspur.language.Statement
import org.bramleyspur.language.toText
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.protocol.ClaimReply
import org.bramleyspur.protocol.ClaimRequest
import org.bramleyspur.protocol.CompleteReply
import org.bramleyspur.protocol.CompleteRequest
import org.bramleyspur.protocol.ConsensusMessage
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SessionDown
import org.bramleyspur.protocol.SessionUp
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/** Exit status after a storage failure: EX_IOERR of sysexits.h. */
private const val EXIT_STORAGE = 74

/** The control role: a member of the replicated log that also manages sessions and placement while it leads. */
class ControlProcess(private val settings: Settings) :
    RoleProcess,
    ControlNodeListener {
    private val loops = EventLoops()
    private val storageThread = Executors.newSingleThreadExecutor { Thread(it, "log-storage") }
    private val storage = openStorage(settings[ControlSettings.DATA_DIR], FirstStart.Join)
    private val transport = PeerTransport(loops.controlGroup)
    private val registry = PrometheusRegistry()
    private val node = ControlNode(
        storage,
        settings[CommonSettings.LISTEN].toString(),
        loops.control,
        loops.controlTimers,
        storageThread,
        transport,
        this,
        settings[ControlSettings.SNAPSHOT_ENTRIES],
        { exitOnStorageFailure(it) },
    )
    private val sessionService = SessionService(node, loops.controlTimers)
    private val placement = PlacementDriver(
        node,
        sessionService,
        loops.controlTimers,
        policyOf(settings),
        PlacementMetrics(registry),
        System::currentTimeMillis,
    )
    private val liveQueries = LiveQueries(node, sessionService, placement, loops.controlTimers)
    private val claimService = ClaimService(node, System::currentTimeMillis)
    private val operatorService = OperatorService(node, System::currentTimeMillis, ::refusalOf, liveQueries::execute)
    private val server = buildServer(
        settings[CommonSettings.LISTEN],
        loops.controlGroup,
        listOf(PeerService(::receive).bindService(), ControlCalls().bindService()),
    )
    private val platform = PlatformServer(::readiness, registry)

    @Volatile
    private var stopping = false

    /** Starts the log and the servers. */
    fun start() {
        loops.control.submit {
            sessionService.start()
            placement.start()
            node.start()
        }.get()
        server.listen(settings[CommonSettings.LISTEN])
        platform.start(settings[CommonSettings.PLATFORM_LISTEN], loops.controlGroup)
        logger.info { "control member ${storage.memberId} started" }
        loops.control.execute { warnIfNotAdmitted() }
    }

    private fun receive(message: ConsensusMessage) {
        transport.onMessageFrom(message.fromAddress)
        node.receive(message)
    }

    private fun warnIfNotAdmitted() {
        if (node.status().members.any { it.id == storage.memberId }) return
        val address = settings[CommonSettings.LISTEN].toString()
        logger.warn {
            "control member ${storage.memberId} is not a member of the log yet; admit it with: " +
                "${AdmitControl(storage.memberId, address).toText()}; " +
                "if its data directory was lost, add: in place of 'OLDID'"
        }
    }

    override fun onLeading(term: Long) {
        sessionService.onLeading(term, node.state)
    }

    override fun onLeadershipLost() = sessionService.onLeadershipLost()

    override fun onStateChanged(before: ControlState, after: ControlState) {
        if (before.configuration != after.configuration || before.assignments != after.assignments) {
            sessionService.onCommitted(after)
        }
    }

    override fun beginStop() {
        stopping = true
    }

    override fun closeListeners() = Unit

    override fun isDrained() = true

    override fun close() {
        loops.control.submit { node.close() }.get()
        server.shutdownNow()
        transport.close()
        platform.close()
        storageThread.shutdown()
        loops.close()
    }

    private fun readiness() = when {
        stopping -> Readiness(false, "stopping")
        node.leaderAddress().isEmpty() -> Readiness(false, "no leader is known")
        else -> Readiness(true, "ready")
    }

    private inner class ControlCalls : ControlServiceGrpc.ControlServiceImplBase() {
        override fun session(down: StreamObserver<SessionDown>): StreamObserver<SessionUp> = sessionService.open(down)

        override fun claim(request: ClaimRequest, reply: StreamObserver<ClaimReply>) =
            claimService.claim(request, reply)

        override fun complete(request: CompleteRequest, reply: StreamObserver<CompleteReply>) =
            claimService.complete(request, reply)

        override fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) =
            operatorService.submit(request, reply)

        override fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) =
            operatorService.query(request, reply)
    }
}

/** Agents and entries of this deployment know no evacuations. */
private fun refusalOf(statement: Statement): String? {
    if (statement !is EvacuateDataCentre) return null
    return "a deployment with agents evacuates no data centre; drain its instances"
}

private fun policyOf(settings: Settings): RepairPolicy {
    val preset = if (settings[ControlSettings.POLICY] == "ragusa") RepairPolicy.ragusa else RepairPolicy.kerherve
    return preset.copy(maxLoads = settings[ControlSettings.WEIGHT_LOADS].toInt())
}

private fun exitOnStorageFailure(error: StorageError): Nothing {
    logger.error { error.message }
    Runtime.getRuntime().halt(EXIT_STORAGE)
    error("unreachable")
}

private fun openStorage(directory: String, firstStart: FirstStart): LogStorage {
    val path = Path.of(directory)
    Files.createDirectories(path)
    return LogStorage.open(DiskFileSystem(path), firstStart).getOrElse { exitOnStorageFailure(it) }
}

/** Initializes an empty data directory for a founding member of a new log. */
internal fun initialize(settings: Settings) {
    val directory = settings[ControlSettings.DATA_DIR]
    val member = settings[InitializeSettings.MEMBER]
    val voters = settings[InitializeSettings.VOTERS].mapValues { it.value.toString() }
    val path = Path.of(directory)
    val error = when {
        member !in voters -> "--member: '$member' is not one of --voters; give one of ${voters.keys.joinToString()}"
        Files.exists(path) && Files.list(path).use { it.findAny().isPresent } ->
            "--data-dir: '$directory' is not empty; an initialized member keeps its identity, so start it as it is"
        else -> null
    }
    if (error != null) {
        System.err.println("bramleyspurd: $error")
        exitProcess(2)
    }
    openStorage(directory, FirstStart.Bootstrap(member, voters)).close()
    println("initialized $directory as member $member")
}
