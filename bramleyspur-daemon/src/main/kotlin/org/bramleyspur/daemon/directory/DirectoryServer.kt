/*
 * Tells entries and the other control instances what backend servers announce here, and the configuration document.
 * Every watcher connects to every control instance, so an announcement needs one hop only, and a watcher that is cut
 * off from some instances hears of it through the others.
 */
package org.bramleyspur.daemon.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.protocol.ConfigurationDocument
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest

private val logger = KotlinLogging.logger {}

/**
 * What a control instance tells its watchers.
 *
 * @property known all backend servers that it knows, sent to a new watcher
 * @property confirmed whether it leads with a valid lease
 * @property members `host:port` of the members of the control log
 */
class DirectoryView(
    val known: () -> BackendDirectory,
    val document: () -> StoredDocument?,
    val confirmed: () -> Boolean,
    val members: () -> List<String>,
)

/** Serves the watchers of one control instance; all functions and callbacks run on the control thread. */
class DirectoryServer(
    private val timers: TimerService,
    private val view: DirectoryView,
    private val onEvidence: (DirectoryRequest) -> Unit,
) {
    private val watchers = LinkedHashSet<Watcher>()

    /** Entries that watch this control instance. */
    val entries: Int get() = watchers.count { it.isEntry }

    /** Starts the regular events by which watchers notice a dead connection. */
    fun start() {
        timers.every(TICK_MS) { broadcast(base().build()) }
    }

    /** Opens the stream of one watcher. */
    fun watch(down: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> {
        val watcher = Watcher(down as ServerCallStreamObserver<DirectoryEvent>)
        watchers += watcher
        down.setOnCancelHandler { watchers -= watcher }
        val now = timers.nowMs()
        val event = base().addAllAnnouncements(view.known().toMessages(now))
        view.document()?.let { event.setDocument(it.toEvent()) }
        watcher.send(event.build())
        return watcher
    }

    /** Passes on an announcement that arrived here. */
    fun onAnnouncement(announcement: Announcement) =
        broadcast(base().addAnnouncements(announcement.toMessage(0)).build())

    /** Passes on a document that was committed. */
    fun onDocument(document: StoredDocument) = broadcast(base().setDocument(document.toEvent()).build())

    private fun base(): DirectoryEvent.Builder = DirectoryEvent
        .newBuilder()
        .setConfirmed(view.confirmed())
        .addAllMembers(view.members())
        .setEntries(entries)

    private fun broadcast(event: DirectoryEvent) = watchers.toList().forEach { it.send(event) }

    private inner class Watcher(private val down: ServerCallStreamObserver<DirectoryEvent>) :
        StreamObserver<DirectoryRequest> {
        var isEntry = false
            private set
        private var heardMs = timers.nowMs()

        fun send(event: DirectoryEvent) {
            // A watcher that has been silent reconnects by itself; its old stream must not collect events.
            if (timers.nowMs() - heardMs > WATCHER_SILENT_MS) {
                watchers -= this
                down.onError(Status.DEADLINE_EXCEEDED.asRuntimeException())
            } else {
                down.onNext(event)
            }
        }

        override fun onNext(request: DirectoryRequest) {
            heardMs = timers.nowMs()
            isEntry = request.entry
            onEvidence(request)
        }

        override fun onError(cause: Throwable) {
            logger.debug { "watcher ended: ${cause.message}" }
            watchers -= this
        }

        override fun onCompleted() {
            watchers -= this
            down.onCompleted()
        }
    }

    private companion object {
        /** A watcher takes four of these without an event for a dead connection. */
        const val TICK_MS = 300L
        const val WATCHER_SILENT_MS = 3_000L
    }
}

private fun StoredDocument.toEvent(): ConfigurationDocument =
    ConfigurationDocument.newBuilder().setVersion(version).setContent(content).build()
