/*
 * The directory of backend servers of a control instance, and what entries have observed about prompt parts: merged from
 * announcements that arrive here and from the events and reports of the other processes, and passed on to them. Confined
 * to the control thread.
 */
package org.bramleyspur.daemon.directory

import com.github.michaelbull.result.fold
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.wire.renewAll
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.protocol.BackendAnnouncement
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.PromptPartReport
import org.bramleyspur.traffic.load.ServerLoad
import org.bramleyspur.traffic.load.WorkReports
import org.bramleyspur.traffic.quarantine.PartObservation
import org.bramleyspur.traffic.quarantine.PartQuarantine

/**
 * What a [ControlDirectory] needs from the rest of its process.
 *
 * @property document the active configuration document
 * @property evacuations the evacuations in force
 * @property confirmed whether this instance leads and holds a valid lease
 * @property members `host:port` of the members of the control log
 * @property onEntryReport receives the reports of entries
 * @property onBackendChanged called after an announcement that changes more than a sequence number
 * @property sharedLoad whether entries are told what the others have sent to each backend server
 */
internal class ControlDirectoryContext(
    val document: () -> StoredDocument?,
    val evacuations: () -> Evacuations,
    val confirmed: () -> Boolean,
    val members: () -> List<String>,
    val onEntryReport: (DirectoryRequest) -> Unit,
    val onBackendChanged: () -> Unit,
    val sharedLoad: Boolean = false,
)

/**
 * The directory of the control instance [instance] at [self] (`host:port`); [seeds] are the control instances that it
 * watches first.
 */
internal class ControlDirectory(
    private val instance: String,
    self: String,
    seeds: List<String>,
    group: EventLoopGroup,
    private val timers: TimerService,
    private val log: DecisionLog,
    private val context: ControlDirectoryContext,
) {
    private var directory = BackendDirectory()
    private var promptParts = PartQuarantine()
    private var workReports = WorkReports()
    private val server = DirectoryServer(
        timers,
        DirectorySource(
            backends = { directory },
            promptParts = { promptParts.observations() },
            document = context.document,
            evacuations = context.evacuations,
            confirmed = context.confirmed,
            members = context.members,
            othersWork = ::othersWork,
        ),
        ::onDirectoryRequest,
    )
    private val client = DirectoryClient(group, timers, seeds, self, ::report) { address, event ->
        onEvent(address, event)
    }

    /** The known backend servers. */
    val backends: BackendDirectory get() = directory

    /** `host:port` of the other control instances. */
    val controlAddresses: Set<String> get() = client.addresses

    /** Starts the exchange with the other processes. */
    fun start() {
        server.start()
        client.start()
    }

    /** Replaces the seeds. */
    fun replaceSeeds(seeds: List<String>) = client.replaceSeeds(seeds)

    /** Opens the event stream of a watcher. */
    fun watch(events: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> = server.watch(events)

    /** Sends a document that has been committed. */
    fun onDocument() = server.onDocument()

    /** Sends a change of the evacuations. */
    fun onEvacuations() = server.onEvacuations()

    private fun onEvent(address: String, event: DirectoryEvent) {
        val now = timers.nowMs()
        event.announcementsList.forEach { recordReceived(it, now) }
        val renewals = directory.renewAll(event.renewalsList, now)
        directory = renewals.directory
        client.requestMissing(address, renewals.missing)
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
        server.onPromptParts(changes)
    }

    private fun report(first: Boolean): DirectoryRequest {
        val report = DirectoryRequest.newBuilder().setInstance(instance)
        if (first) {
            report.addAllAnnouncements(directory.toMessages(timers.nowMs()))
            report.addAllPromptParts(promptParts.observations().map { it.toMessage() })
        }
        return report.build()
    }

    private fun othersWork(entry: String): Map<String, ServerLoad> {
        if (!context.sharedLoad) return emptyMap()
        val now = timers.nowMs()
        workReports = workReports.asLeader(context.confirmed(), now).expire(now)
        return workReports.othersOf(entry, now)
    }

    private fun onDirectoryRequest(request: DirectoryRequest) {
        val now = timers.nowMs()
        if (context.sharedLoad && request.entry) {
            workReports = workReports
                .asLeader(context.confirmed(), now)
                .with(request.instance, request.workList.toLoads(), now)
        }
        request.announcementsList.forEach { recordReceived(it, now) }
        recordPromptParts(request.promptPartsList)
        if (request.entry) context.onEntryReport(request)
    }

    private fun recordReceived(message: BackendAnnouncement, nowMs: Long) {
        message.toModel(System.currentTimeMillis()).fold(
            { recordAnnouncement(it, nowMs - maxOf(message.ageMs, 0)) },
            { log.write("announcement-dropped", "id" to message.id, "reason" to it) },
        )
    }

    /** Records an announcement that this instance received first, and passes it on. */
    fun recordOwn(announcement: Announcement) {
        val before = directory.backends[announcement.id]?.announcement
        if (!recordAnnouncement(announcement, timers.nowMs())) return
        if (before != null && announcement.hasContentOf(before)) {
            server.onRenewal(announcement.id)
        } else {
            server.onAnnouncement(announcement)
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
            context.onBackendChanged()
        }
        return true
    }

    /** Forgets backend servers and prompt parts whose retention has ended. */
    fun expire() {
        directory = directory.expire(timers.nowMs())
        val backends = directory.backends.size
        if (backends >= BackendDirectory.MAX_BACKENDS) log.write("directory-full", "backends" to backends)
        promptParts = promptParts.expire(timers.nowMs())
    }
}
