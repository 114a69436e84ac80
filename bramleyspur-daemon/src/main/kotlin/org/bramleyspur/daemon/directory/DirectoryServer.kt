/*
 * Sends the announcements of backend servers and the configuration document to entries and other control instances.
 * Every watcher connects to every control instance, so an announcement takes a single hop, and a watcher that is
 * disconnected from some instances receives it from the others. An announcement without a change is sent as a short
 * renewal together with others; a watcher that lacks the content asks for it.
 */
package org.bramleyspur.daemon.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.wire.renewalMessage
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.protocol.BackendRenewal
import org.bramleyspur.protocol.ConfigurationDocument
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.EvacuationState
import org.bramleyspur.traffic.load.ServerLoad
import org.bramleyspur.traffic.quarantine.PartObservation

private val logger = KotlinLogging.logger {}

/**
 * Supplies the state that a control instance sends to its watchers.
 *
 * @property backends all known backend servers, sent to a new watcher
 * @property promptParts what is known about suspect prompt parts, sent to a new watcher
 * @property evacuations the evacuations in force
 * @property confirmed whether this instance leads with a valid lease
 * @property members `host:port` of the members of the control log
 * @property othersWork work of all entries but the named one by backend server; empty if it is not to be sent
 */
class DirectorySource(
    val backends: () -> BackendDirectory,
    val promptParts: () -> List<PartObservation>,
    val document: () -> StoredDocument?,
    val evacuations: () -> Evacuations,
    val confirmed: () -> Boolean,
    val members: () -> List<String>,
    val othersWork: (entry: String) -> Map<String, ServerLoad> = { emptyMap() },
)

/** Serves the watchers of one control instance; all functions and callbacks run on the control thread. */
class DirectoryServer(
    private val timers: TimerService,
    private val source: DirectorySource,
    private val onRequest: (DirectoryRequest) -> Unit,
) {
    private val watchers = LinkedHashSet<Watcher>()

    /** Backend servers whose renewals have not been sent to control instances, and to entries. */
    private val renewed = LinkedHashSet<String>()
    private val renewedForEntries = LinkedHashSet<String>()
    private var committedAtMs = timers.nowMs()

    /** Number of entries that watch this control instance. */
    val entries: Int get() = watchers.count { it.isEntry }

    /** Starts the periodic events by which watchers detect a dead connection. */
    fun start() {
        timers.every(EVENT_INTERVAL_MS) { sendRegularEvents() }
        timers.every(RENEWAL_INTERVAL_MS) { sendRenewals() }
    }

    private fun sendRegularEvents() {
        val event = newEvent().build()
        val entryEvent = event.toBuilder().addAllRenewals(renewalsOf(renewedForEntries)).build()
        renewedForEntries.clear()
        watchers.toList().forEach { it.send(if (it.isEntry) entryEvent.withWork(it.instance) else event) }
        sendDocument()
    }

    private fun DirectoryEvent.withWork(entry: String): DirectoryEvent {
        val work = source.othersWork(entry)
        return if (work.isEmpty()) this else toBuilder().addAllWork(work.toMessages()).build()
    }

    private fun sendRenewals() {
        if (renewed.isEmpty()) return
        val event = newEvent().addAllRenewals(renewalsOf(renewed)).build()
        renewed.clear()
        watchers.filterNot { it.isEntry }.forEach { it.send(event) }
    }

    private fun renewalsOf(ids: Set<String>): List<BackendRenewal> {
        val nowMs = timers.nowMs()
        val backends = source.backends().backends
        return ids.mapNotNull { backends[it] }.map { renewalMessage(it, nowMs - it.receivedAtMs) }
    }

    /** Sends that the backend server [id] has announced itself again without a change, together with others. */
    fun onRenewal(id: String) {
        renewed += id
        renewedForEntries += id
    }

    /** Opens the event stream of a watcher, and sends it the directory. */
    fun watch(events: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> {
        val watcher = Watcher(events as ServerCallStreamObserver<DirectoryEvent>)
        watchers += watcher
        events.setOnCancelHandler { watchers -= watcher }
        events.setOnReadyHandler { sendDocument() }
        val now = timers.nowMs()
        val event = newEvent().addAllAnnouncements(source.backends().toMessages(now))
        event.addAllPromptParts(source.promptParts().map { it.toMessage() })
        watcher.send(event.build())
        return watcher
    }

    /** Sends a changed announcement that this instance received to all watchers, at once. */
    fun onAnnouncement(announcement: Announcement) =
        broadcast(newEvent().addAnnouncements(announcement.toMessage(0)).build())

    /** Sends new observations of prompt parts to all watchers. */
    fun onPromptParts(observations: List<PartObservation>) =
        broadcast(newEvent().addAllPromptParts(observations.map { it.toMessage() }).build())

    /**
     * Sends a committed document to the entries that lack it: at once if this instance leads. All instances have the
     * document, so another one sends it only to entries that have not received it from the leader.
     */
    fun onDocument() {
        committedAtMs = timers.nowMs()
        sendDocument()
    }

    /** Sends a change of the evacuations to all watchers, at once. */
    fun onEvacuations() = broadcast(newEvent().build())

    private fun sendDocument() {
        val document = source.document() ?: return
        val leads = source.confirmed()
        val nowMs = timers.nowMs()
        val lacking = watchers.filter { it.lacks(document.version) && it.takesDocuments }
            .filter { leads || nowMs - maxOf(committedAtMs, it.openedAtMs) >= FOLLOWER_DELAY_MS }
        if (lacking.isEmpty()) return
        val event = newEvent().setDocument(document.toEvent()).build()
        lacking.forEach { it.sendDocument(event, document.version) }
    }

    private fun newEvent(): DirectoryEvent.Builder = DirectoryEvent
        .newBuilder()
        .setEvacuations(source.evacuations().toMessage())
        .setConfirmed(source.confirmed())
        .setDocumentVersion(source.document()?.version ?: 0)
        .addAllMembers(source.members())
        .setEntries(entries)

    private fun broadcast(event: DirectoryEvent) = watchers.toList().forEach { it.send(event) }

    private inner class Watcher(private val events: ServerCallStreamObserver<DirectoryEvent>) :
        StreamObserver<DirectoryRequest> {
        var isEntry = false
            private set
        var instance = ""
            private set
        val openedAtMs = timers.nowMs()
        private var lastReceivedMs = openedAtMs

        /** The newest document version that the watcher has in force or was sent. */
        private var documentVersion = 0L

        /**
         * Whether the watcher has taken what was sent to it. One that is slow or frozen gets only the newest document
         * once it is ready, so that the documents of many changes do not queue up in memory.
         */
        val takesDocuments: Boolean get() = events.isReady

        /** Whether the watcher needs documents, which control instances receive by the log, and has an older one. */
        fun lacks(version: Long): Boolean = isEntry && documentVersion < version

        fun sendDocument(event: DirectoryEvent, version: Long) {
            documentVersion = version
            send(event)
        }

        fun send(event: DirectoryEvent) {
            // An unresponsive watcher reconnects by itself; its old stream must not buffer further events.
            if (timers.nowMs() - lastReceivedMs > WATCHER_UNRESPONSIVE_LIMIT_MS) {
                watchers -= this
                events.onError(Status.DEADLINE_EXCEEDED.asRuntimeException())
            } else {
                events.onNext(event)
            }
        }

        override fun onNext(request: DirectoryRequest) {
            lastReceivedMs = timers.nowMs()
            isEntry = request.entry
            instance = request.instance
            documentVersion = maxOf(documentVersion, request.documentVersion)
            if (isEntry && source.confirmed()) sendDocument()
            if (request.missingBackendsCount > 0) sendMissing(request.missingBackendsList)
            onRequest(request)
        }

        private fun sendMissing(ids: List<String>) {
            val nowMs = timers.nowMs()
            val backends = source.backends().backends
            val known = ids.distinct().mapNotNull { backends[it] }
            val event = newEvent().addAllAnnouncements(known.map { it.announcement.toMessage(nowMs - it.receivedAtMs) })
            send(event.build())
        }

        override fun onError(cause: Throwable) {
            logger.debug { "stream of a directory watcher failed: ${cause.message}" }
            watchers -= this
        }

        override fun onCompleted() {
            watchers -= this
            events.onCompleted()
        }
    }

    private companion object {
        /** A watcher reopens the connection after four intervals without an event. */
        const val EVENT_INTERVAL_MS = 300L

        /** Control instances must know soon that an announcement is not overdue. */
        const val RENEWAL_INTERVAL_MS = 100L

        /** Longer than the leader takes to send a document to all entries and they take to report it. */
        const val FOLLOWER_DELAY_MS = 500L
        const val WATCHER_UNRESPONSIVE_LIMIT_MS = 3_000L
    }
}

private fun Evacuations.toMessage(): EvacuationState =
    EvacuationState.newBuilder().setRevision(revision).addAllDataCentres(byDataCentre.keys.sorted()).build()

private fun StoredDocument.toEvent(): ConfigurationDocument =
    ConfigurationDocument.newBuilder().setVersion(version).setContent(content).build()
