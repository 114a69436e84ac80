/*
 * The control role of a deployment without agents, whose backend servers announce themselves: a member of the
 * replicated log that admits and replaces members without an operator, maintains the directory of backend servers, and
 * orders engines into groups while it leads. All state is confined to the control thread.
 */
package org.bramleyspur.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.control.member.Admission
import org.bramleyspur.control.member.admit
import org.bramleyspur.control.member.needsAdmission
import org.bramleyspur.control.member.nextMembershipChange
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.control.state.ReplaceDocument
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.validate
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.CoalescedTask
import org.bramleyspur.core.time.LoopLag
import org.bramleyspur.core.wire.renewAll
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.controlplane.ControlPlaneCall
import org.bramleyspur.daemon.controlplane.ControlPlaneDecoder
import org.bramleyspur.daemon.controlplane.ControlPlaneResponse
import org.bramleyspur.daemon.controlplane.ControlPlaneServer
import org.bramleyspur.daemon.directory.DirectoryClient
import org.bramleyspur.daemon.directory.DirectoryServer
import org.bramleyspur.daemon.directory.DirectorySource
import org.bramleyspur.daemon.directory.toMessage
import org.bramleyspur.daemon.directory.toModel
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.member.ControlNodeListener
import org.bramleyspur.daemon.member.MemberAdmission
import org.bramleyspur.daemon.member.PeerService
import org.bramleyspur.daemon.member.PeerTransport
import org.bramleyspur.daemon.operator.OperatorService
import org.bramleyspur.daemon.orders.EngineCalls
import org.bramleyspur.daemon.orders.EngineDialect
import org.bramleyspur.daemon.orders.GroupDriver
import org.bramleyspur.daemon.orders.OrderSender
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.protocol.AdmissionReply
import org.bramleyspur.protocol.AdmissionRequest
import org.bramleyspur.protocol.BackendAnnouncement
import org.bramleyspur.protocol.ConsensusMessage
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc
import org.bramleyspur.protocol.PromptPartReport
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import org.bramleyspur.traffic.quarantine.PartObservation
import org.bramleyspur.traffic.quarantine.PartQuarantine
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

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
    private val dialect: ControlDialect,
    private val log: DecisionLog,
    private val openDirectory: (Path) -> FileSystem = ::DiskFileSystem,
) : RoleProcess,
    ControlNodeListener {
    private val loops = EventLoops()
    private val timers = loops.controlTimers
    private val storageThread = Executors.newSingleThreadExecutor { Thread(it, "log-storage") }
    private val transport = PeerTransport(loops.controlGroup)
    private val registry = PrometheusRegistry()
    private var node: ControlNode? = null
    private var memberId = ""
    private var directory = BackendDirectory()
    private var promptParts = PartQuarantine()
    private val directoryServer = DirectoryServer(
        timers,
        DirectorySource(
            backends = { directory },
            promptParts = { promptParts.observations() },
            document = { node?.state?.document },
            confirmed = { node?.leadingTerm() != null },
            members = ::memberAddresses,
        ),
        ::onDirectoryRequest,
    )
    private val directoryClient = DirectoryClient(
        loops.controlGroup,
        timers,
        settings.seeds,
        settings.listenAddress.toString(),
        ::report,
    ) { address, event -> onEvent(address, event) }
    private val admission = MemberAdmission(loops.controlGroup, timers)
    private val lag = LoopLag(timers) { log.write("control-late", "lag_ms" to it) }
    private val planning = CoalescedTask(timers, ::plan)
    private val groupDriver = GroupDriver(
        timers,
        OrderSender(loops.controlGroup, timers, dialect.engines).let {
            EngineCalls(it::send, it::probe, it::closeAllExcept)
        },
        dialect.decodeDocument,
        log,
        { lag.recentMs() },
        { planning.request() },
    )
    private val controlPlane = ControlPlaneServer(dialect.decodeCall, ::onCallFailure, ::handle)
    private val platform = PlatformServer(::readiness, registry)
    private val internalServer = buildServer(
        settings.listenAddress,
        loops.controlGroup,
        listOf(
            PeerService(::receive).bindService(),
            DirectoryCalls().bindService(),
            OperatorCalls().bindService(),
        ),
    )

    @Volatile
    private var stopping = false

    /** Starts the servers, the log and the periodic tasks. */
    fun start() {
        internalServer.listen(settings.listenAddress)
        controlPlane.start(settings.controlPlaneAddress, loops.controlGroup)
        settings.metricsAddress?.let { platform.start(it, loops.controlGroup) }
        loops.control.submit {
            openLog()
            directoryServer.start()
            directoryClient.start()
            lag.start()
            timers.every(PLAN_INTERVAL_MS) { planning.request() }
            timers.every(ADMISSION_INTERVAL_MS) { requestAdmissionIfNeeded() }
            timers.every(EXPIRY_INTERVAL_MS) { expireBackends() }
        }.get()
        log.write("started", "role" to "control", "instance" to settings.instance, "bootstrap" to settings.bootstrap)
    }

    /** Replaces the seeds. */
    fun replaceSeeds(seeds: List<String>) = loops.control.execute { directoryClient.replaceSeeds(seeds) }

    /**
     * Opens the log on the storage thread, and retries after a failure, since a full or stalled disk must not cause a
     * crash loop. Until the log is open, this instance has no vote and serves no operator calls.
     */
    private fun openLog() {
        storageThread.execute {
            val opened = openStorage()
            loops.control.execute {
                opened.fold({ startNode(it) }, { reopenLog(it) })
            }
        }
    }

    private fun reopenLog(reason: String) {
        log.write("log-not-open", "reason" to reason, "retry_ms" to LOG_REOPEN_DELAY_MS)
        timers.after(LOG_REOPEN_DELAY_MS) { openLog() }
    }

    // Any operation on a directory of a failed disk can throw, and reading a large log can exhaust the memory.
    @Suppress("TooGenericExceptionCaught")
    private fun openStorage(): Result<LogStorage, String> = try {
        LogStorage.open(openDirectory(Path.of(settings.dataDir)), firstStart()).mapError { it.message }
    } catch (e: Throwable) {
        Err(e.toString())
    }

    private fun firstStart(): FirstStart {
        val self = settings.listenAddress.toString()
        return if (settings.bootstrap && self in settings.seeds) {
            FirstStart.Bootstrap(self, settings.seeds.associateWith { it })
        } else {
            FirstStart.Join
        }
    }

    @Suppress("TooGenericExceptionCaught") // Restoring a large state can exhaust the memory.
    private fun startNode(storage: LogStorage) {
        memberId = storage.memberId
        val startedNode = ControlNode(
            storage,
            settings.listenAddress.toString(),
            loops.control,
            timers,
            storageThread,
            transport,
            this,
            SNAPSHOT_ENTRIES,
            ::onStorageFailure,
        ) { nextMembershipChange(it, settings.voterCount) }
        node = startedNode
        try {
            startedNode.start()
        } catch (e: Throwable) {
            node = null
            storageThread.execute { storage.close() }
            return reopenLog(e.toString())
        }
        log.write("log-open", "member" to memberId, "document" to (startedNode.state.document?.version ?: 0L))
    }

    private fun onStorageFailure(error: StorageError) {
        log.write("log-failed", "reason" to error.message, "retry_ms" to LOG_REOPEN_DELAY_MS)
        node = null
        timers.after(LOG_REOPEN_DELAY_MS) { openLog() }
    }

    private fun receive(message: ConsensusMessage) {
        transport.onMessageFrom(message.fromAddress)
        node?.receive(message)
    }

    private fun memberAddresses(): List<String> = node?.status()?.members?.map { it.address }.orEmpty()

    private fun requestAdmissionIfNeeded() {
        val current = node ?: return
        if (!needsAdmission(current.status())) return
        admission.requestAdmission(
            memberId,
            settings.listenAddress.toString(),
            directoryClient.addresses + settings.seeds,
        )
    }

    override fun onLeading(term: Long) {
        log.write("leading", "term" to term, "member" to memberId)
    }

    override fun onLeadershipLost() {
        log.write("leadership-lost", "member" to memberId)
    }

    override fun onStateChanged(before: ControlState, after: ControlState) {
        val document = after.document ?: return
        if (document.version != before.document?.version) {
            log.write("document-in-force", "version" to document.version, "before" to (before.document?.version ?: 0L))
            directoryServer.onDocument()
        }
    }

    private fun onEvent(address: String, event: DirectoryEvent) {
        val now = timers.nowMs()
        event.announcementsList.forEach { recordReceived(it, now) }
        val renewals = directory.renewAll(event.renewalsList, now)
        directory = renewals.directory
        directoryClient.requestMissing(address, renewals.missing)
        recordPromptParts(event.promptPartsList)
    }

    /** Passes on what is new, so that an entry that reaches only some control instances learns it from any of them. */
    private fun recordPromptParts(reports: List<PromptPartReport>) {
        val changes = reports.map { it.toModel() }.filter { observation ->
            val before = promptParts
            promptParts = before.with(observation, timers.nowMs())
            promptParts !== before
        }
        if (changes.isEmpty()) return
        log.write(
            "prompt-parts",
            "ended" to changes.count { it is PartObservation.EngineEnded },
            "survived" to changes.count { it is PartObservation.Survived },
            "suspects" to promptParts.suspects.size,
        )
        directoryServer.onPromptParts(changes)
    }

    private fun report(first: Boolean): DirectoryRequest {
        val report = DirectoryRequest.newBuilder().setInstance(settings.instance)
        if (first) {
            report.addAllAnnouncements(directory.toMessages(timers.nowMs()))
            report.addAllPromptParts(promptParts.observations().map { it.toMessage() })
        }
        return report.build()
    }

    private fun onDirectoryRequest(request: DirectoryRequest) {
        val now = timers.nowMs()
        request.announcementsList.forEach { recordReceived(it, now) }
        recordPromptParts(request.promptPartsList)
        if (request.entry) groupDriver.onEntryReport(request)
    }

    private fun recordReceived(message: BackendAnnouncement, nowMs: Long) {
        message.toModel(System.currentTimeMillis()).fold(
            { recordAnnouncement(it, nowMs - maxOf(message.ageMs, 0)) },
            { log.write("announcement-dropped", "id" to message.id, "reason" to it) },
        )
    }

    /** Records an announcement that this instance received first, and passes it on. */
    private fun recordOwn(announcement: Announcement) {
        val before = directory.backends[announcement.id]?.announcement
        if (!recordAnnouncement(announcement, timers.nowMs())) return
        if (before != null && announcement.hasContentOf(before)) {
            directoryServer.onRenewal(announcement.id)
        } else {
            directoryServer.onAnnouncement(announcement)
        }
    }

    /** Adds an announcement to the directory; returns whether it changed the directory. */
    private fun recordAnnouncement(announcement: Announcement, receivedAtMs: Long): Boolean {
        val before = directory.backends[announcement.id]?.announcement
        val next = directory.withAnnouncement(announcement, receivedAtMs)
        if (next === directory) return false
        directory = next
        if (before?.state != announcement.state || before.groupMembership != announcement.groupMembership ||
            before.startedAtMs != announcement.startedAtMs
        ) {
            log.write(
                "backend",
                "id" to announcement.id,
                "service" to announcement.service,
                "state" to announcement.state.name,
                "group" to announcement.groupMembership?.let { "${it.id.name}/${it.rank}/${it.state}" }.orEmpty(),
                "staged" to announcement.stagedModels.joinToString(","),
                "domain" to announcement.fabricDomain,
                "sequence" to announcement.sequence,
            )
            planning.request()
        }
        return true
    }

    private fun expireBackends() {
        directory = directory.expire(timers.nowMs())
        val backends = directory.backends.size
        if (backends >= BackendDirectory.MAX_BACKENDS) log.write("directory-full", "backends" to backends)
        promptParts = promptParts.expire(timers.nowMs())
        groupDriver.closeAllExcept(directory.backends)
    }

    private fun plan() {
        val current = node ?: return
        groupDriver.plan(current.leadingTerm(), current.state.document, directory.backends)
    }

    private fun handle(call: ControlPlaneCall, respond: (ControlPlaneResponse) -> Unit) = when (call) {
        is ControlPlaneCall.Announce -> {
            recordOwn(call.announcement)
            respond(ControlPlaneResponse.Accepted)
        }
        is ControlPlaneCall.Deregister -> respond(deregister(call))
        is ControlPlaneCall.Replace -> replace(call, respond)
        is ControlPlaneCall.Read -> read(respond)
        is ControlPlaneCall.Invalid -> {
            log.write("call-refused", "reason" to call.message)
            respond(ControlPlaneResponse.Refused(call.message))
        }
        ControlPlaneCall.Unknown -> respond(ControlPlaneResponse.NotFound)
    }

    private fun onCallFailure(cause: Throwable) = log.write("call-failed", "reason" to cause.toString())

    /** A deregistered engine may serve for some time, so its place in a group is free only once the head has left. */
    private fun deregister(call: ControlPlaneCall.Deregister): ControlPlaneResponse {
        val tombstone = directory.tombstone(call.id, call.startedAtMs) ?: return ControlPlaneResponse.Accepted
        val error = tombstone.validate(System.currentTimeMillis())
        if (error != null) {
            val reason = "${error.field.name} ${error.reason}"
            log.write("call-refused", "reason" to reason)
            return ControlPlaneResponse.Refused(reason)
        }
        recordOwn(tombstone)
        return ControlPlaneResponse.Accepted
    }

    private fun replace(call: ControlPlaneCall.Replace, respond: (ControlPlaneResponse) -> Unit) {
        val current =
            node ?: return respond(ControlPlaneResponse.Unavailable("the log is not open; ask another instance"))
        if (current.leadingTerm() == null) return respond(redirectToLeader(current))
        val document = StoredDocument(call.version, call.content)
        current.propose(ReplaceDocument(document)) { result ->
            val outcome = result.fold({ "accepted" }, { it.message })
            log.write("document", "version" to call.version, "outcome" to outcome)
            respond(result.fold({ ControlPlaneResponse.Accepted }, ::refusalOf))
        }
    }

    /** Only an entry that is too large is refused for good; all other errors may pass. */
    private fun refusalOf(error: ProposeError): ControlPlaneResponse = when (error) {
        is ProposeError.TooLarge -> ControlPlaneResponse.Refused(error.message)
        else -> ControlPlaneResponse.Unavailable(error.message)
    }

    private fun read(respond: (ControlPlaneResponse) -> Unit) {
        val current =
            node ?: return respond(ControlPlaneResponse.Unavailable("the log is not open; ask another instance"))
        val document = current.state.document
        respond(
            when {
                current.leadingTerm() == null -> redirectToLeader(current)
                document == null -> ControlPlaneResponse.Unavailable("no document has been accepted; send one")
                else -> ControlPlaneResponse.Content(document.content)
            },
        )
    }

    /** Redirects to the leader; after its own lease has ended, this instance may still be the last known leader. */
    private fun redirectToLeader(current: ControlNode): ControlPlaneResponse {
        val leader = current.leaderAddress()
        val known = leader.isNotEmpty() && leader != settings.listenAddress.toString()
        return if (known) {
            ControlPlaneResponse.Redirect(leader.substringBeforeLast(':'))
        } else {
            ControlPlaneResponse.Unavailable("no leader is known; send again")
        }
    }

    private fun readiness() = Readiness(!stopping, if (stopping) "stopping" else "ready")

    override fun beginStop() {
        stopping = true
    }

    override fun closeListeners() = Unit

    override fun isDrained() = true

    override fun close() {
        loops.control.submit { node?.close() }.get()
        storageThread.shutdown()
        storageThread.awaitTermination(STORAGE_CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        internalServer.shutdownNow()
        controlPlane.close()
        transport.close()
        platform.close()
        loops.close()
    }

    private inner class DirectoryCalls : DirectoryServiceGrpc.DirectoryServiceImplBase() {
        override fun watch(events: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> =
            directoryServer.watch(events)

        override fun admit(request: AdmissionRequest, reply: StreamObserver<AdmissionReply>) {
            val current = node
            val message = AdmissionReply.newBuilder()
            if (current?.leadingTerm() != null) {
                when (val decision = admit(current.status(), request.member, request.address)) {
                    Admission.Member -> message.setAdmitted(true)
                    is Admission.Change -> {
                        log.write("admission", "member" to request.member, "change" to decision.change.toString())
                        current.changeMembership(decision.change) { result ->
                            log.write("admission-done", "outcome" to result.fold({ "done" }, { it.message }))
                        }
                    }
                }
            } else {
                message.setLeader(current?.leaderAddress().orEmpty())
            }
            reply.onNext(message.build())
            reply.onCompleted()
        }
    }

    private inner class OperatorCalls : ControlServiceGrpc.ControlServiceImplBase() {
        private fun operatorService() = node?.let { OperatorService(it, System::currentTimeMillis) { null } }

        override fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
            operatorService()?.submit(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
        }

        override fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) {
            operatorService()?.query(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
        }
    }

    private companion object {
        /** Interval for orders and timeouts of groups; an announcement triggers planning at once. */
        const val PLAN_INTERVAL_MS = 100L
        const val ADMISSION_INTERVAL_MS = 500L
        const val EXPIRY_INTERVAL_MS = 5_000L
        const val LOG_REOPEN_DELAY_MS = 1_000L
        const val SNAPSHOT_ENTRIES = 200L
        const val STORAGE_CLOSE_TIMEOUT_MS = 1_000L
    }
}
