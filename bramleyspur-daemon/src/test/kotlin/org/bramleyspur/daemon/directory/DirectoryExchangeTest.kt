package org.bramleyspur.daemon.directory

import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.wire.renewAll
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.process.EventLoops
import org.bramleyspur.daemon.process.buildServer
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket

/** Guards against a watcher that keeps outdated content, because it received only renewals of what it has missed. */
class DirectoryExchangeTest {
    private class Case(val name: String, val missed: BackendState)

    private val cases = listOf(
        Case("nothing missed", BackendState.READY),
        Case("a departure missed", BackendState.LEAVING),
        Case("a deregistration missed", BackendState.GONE),
    )

    @TestFactory
    fun `a watcher asks for content that it has missed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            DirectoryExchange().use { exchange ->
                exchange.start(announcement(1, BackendState.READY))
                exchange.await { it?.sequence == 1L }
                // The change reaches this control instance but not the watcher, as after a partition.
                exchange.announceUnseen(announcement(2, case.missed))
                exchange.renew(announcement(3, case.missed))
                exchange.await { it?.sequence == 3L }
                expectThat(exchange.received("e")?.state).isEqualTo(case.missed)
            }
        }
    }

    /**
     * @property knownVersion version that the watcher has in force; the control instance has version 5
     * @property documents number of documents that it receives within a second
     */
    private class DocumentCase(
        val name: String,
        val leads: Boolean,
        val entry: Boolean,
        val knownVersion: Long,
        val documents: Int,
    )

    private val documentCases = listOf(
        DocumentCase("an entry without one, from the leader", leads = true, entry = true, 0, documents = 1),
        DocumentCase("an entry with an older one, from the leader", leads = true, entry = true, 4, documents = 1),
        DocumentCase("an entry that has it, from the leader", leads = true, entry = true, 5, documents = 0),
        DocumentCase("an entry with a newer one, from the leader", leads = true, entry = true, 6, documents = 0),
        DocumentCase("an entry without one, from a follower", leads = false, entry = true, 0, documents = 1),
        DocumentCase("an entry that has it, from a follower", leads = false, entry = true, 5, documents = 0),
        DocumentCase("a control instance, from the leader", leads = true, entry = false, 0, documents = 0),
    )

    /** Guards against documents that all control instances send to all watchers, and against an entry without one. */
    @TestFactory
    fun `a document is sent once to each entry that lacks it`() = documentCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val document = StoredDocument(5, ByteString.copyFromUtf8("content"))
            DirectoryExchange(case.leads, case.entry, document, case.knownVersion).use { exchange ->
                exchange.start(announcement(1, BackendState.READY))
                exchange.await { it?.sequence == 1L }
                Thread.sleep(DOCUMENT_WAIT_MS)
                expectThat(exchange.documents()).isEqualTo(case.documents)
            }
        }
    }

    private fun announcement(sequence: Long, state: BackendState) = Announcement(
        id = "e",
        startedAtMs = 1,
        sequence = sequence,
        service = "s",
        address = "10.0.0.1:1",
        dataCentre = "a",
        slots = 4,
        state = state,
        fabricDomain = "d",
        stagedModels = persistentListOf(),
        groupMembership = null,
    )

    private companion object {
        /** Longer than a follower waits for the leader, and two regular events. */
        const val DOCUMENT_WAIT_MS = 1_300L
    }
}

/**
 * A control instance and a watcher, connected over loopback. The control instance [leads] or not, and has [document] in
 * force; the watcher is an [entry] or another control instance, and has [knownVersion] in force.
 */
private class DirectoryExchange(
    leads: Boolean = true,
    entry: Boolean = true,
    document: StoredDocument? = null,
    knownVersion: Long = 0,
) : AutoCloseable {
    private val loops = EventLoops()
    private val address =
        Address("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })
    private var known = BackendDirectory()
    private val directoryServer = DirectoryServer(
        loops.controlTimers,
        DirectorySource({ known }, { emptyList() }, { document }, { leads }, { emptyList() }),
    ) {}
    private val server = buildServer(address, loops.controlGroup, listOf(Calls().bindService()))
    private var received = BackendDirectory()
    private var receivedVersion = 0L
    private var documentCount = 0
    private val client = DirectoryClient(
        loops.trafficGroup,
        loops.trafficTimers,
        listOf(address.toString()),
        null,
        {
            DirectoryRequest.newBuilder().setEntry(
                entry,
            ).setDocumentVersion(maxOf(knownVersion, receivedVersion)).build()
        },
    ) { from, event -> onEvent(from, event) }

    private inner class Calls : DirectoryServiceGrpc.DirectoryServiceImplBase() {
        override fun watch(events: StreamObserver<DirectoryEvent>) = directoryServer.watch(events)
    }

    private fun onEvent(from: String, event: DirectoryEvent) {
        if (event.hasDocument()) {
            documentCount++
            receivedVersion = event.document.version
        }
        event.announcementsList.forEach { message ->
            received = received.withAnnouncement(message.toModel(NOW_MS).component1()!!, 0)
        }
        val renewals = received.renewAll(event.renewalsList, 0)
        received = renewals.directory
        client.requestMissing(from, renewals.missing)
    }

    /** Starts both with [first] known to the control instance. */
    fun start(first: Announcement) {
        known = known.withAnnouncement(first, 0)
        server.listen(address)
        loops.control.submit { directoryServer.start() }.get()
        loops.traffic.submit { client.start() }.get()
    }

    /** Makes [announcement] known to the control instance, without sending it. */
    fun announceUnseen(announcement: Announcement) {
        loops.control.submit { known = known.withAnnouncement(announcement, 0) }.get()
    }

    /** Makes [announcement], which changes nothing, known to the control instance, and sends its renewal. */
    fun renew(announcement: Announcement) {
        announceUnseen(announcement)
        loops.control.submit { directoryServer.onRenewal(announcement.id) }.get()
    }

    /** The announcement of the backend server [id] that the watcher knows. */
    fun received(id: String): Announcement? =
        loops.traffic.submit<Announcement?> { received.backends[id]?.announcement }.get()

    /** Number of documents that the watcher has received. */
    fun documents(): Int = loops.traffic.submit<Int> { documentCount }.get()

    /** Waits until what the watcher knows of the backend server meets [condition]. */
    fun await(condition: (Announcement?) -> Boolean) {
        val deadline = System.nanoTime() + WAIT_NANOS
        while (!condition(received("e"))) {
            check(System.nanoTime() < deadline) { "the condition did not hold in time" }
            Thread.sleep(POLL_MS)
        }
    }

    override fun close() {
        server.shutdownNow()
        loops.close()
    }

    private companion object {
        const val NOW_MS = 1_000_000L
        const val WAIT_NANOS = 20_000_000_000L
        const val POLL_MS = 10L
    }
}
