package org.bramleyspur.daemon.directory

import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.wire.renewAll
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.ResettableRelay
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.process.EventLoops
import org.bramleyspur.daemon.process.buildServer
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc
import org.bramleyspur.traffic.evacuation.EvacuationView
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a watcher that keeps outdated content, because it received only renewals of what it has missed. */
class DirectoryExchangeTest {
    /** @property sequence number of the newest announcement that counts; none counts after the end of a life */
    private class Case(val name: String, val missed: BackendState, val sequence: Long)

    private val cases = listOf(
        Case("nothing missed", BackendState.READY, sequence = 3),
        Case("a departure missed", BackendState.LEAVING, sequence = 3),
        Case("a deregistration missed", BackendState.GONE, sequence = 2),
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
                exchange.await { it?.sequence == case.sequence }
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

    /** Whether connections are reset before and after a new document is committed, and when it has been received. */
    private class ResetCase(val name: String, val before: Boolean, val after: Boolean, val received: Boolean)

    private val resetCases = listOf(
        ResetCase("before the commit", before = true, after = false, received = false),
        ResetCase("right after the commit", before = false, after = true, received = false),
        ResetCase("when the entry has it", before = false, after = false, received = true),
        ResetCase("at each step", before = true, after = true, received = true),
    )

    /** Guards against a document, or a backend server, that an entry lacks or loses after a reset connection. */
    @TestFactory
    fun `an entry whose connection is reset has the newest document and all backend servers`() =
        resetCases.flatMap { case -> listOf(true, false).map { case to it } }.map { (case, leads) ->
            DynamicTest.dynamicTest("${case.name}, ${if (leads) "leader" else "follower"}") {
                val first = StoredDocument(5, ByteString.copyFromUtf8("five"))
                DirectoryExchange(leads, document = first).use { exchange ->
                    exchange.start(announcement(1, BackendState.READY))
                    exchange.await { it?.sequence == 1L }
                    exchange.awaitVersion(5)
                    if (case.before) exchange.reset()
                    exchange.commit(StoredDocument(6, ByteString.copyFromUtf8("six")))
                    if (case.after) exchange.reset()
                    exchange.awaitVersion(6)
                    if (case.received) exchange.reset()
                    exchange.announceUnseen(announcement(2, BackendState.LEAVING))
                    exchange.renew(announcement(3, BackendState.LEAVING))
                    exchange.await { it?.state == BackendState.LEAVING }
                    expectThat(exchange.versions()).isEqualTo(exchange.versions().sorted())
                }
            }
        }

    /** Guards against an entry that sends to an evacuated data centre since it missed a change, or takes back one. */
    @TestFactory
    fun `a change of the evacuations reaches an entry, also over a new connection`() =
        listOf(true, false).flatMap { leads -> listOf(true, false).map { leads to it } }.map { (leads, resets) ->
            DynamicTest.dynamicTest("${if (leads) "leader" else "follower"}, ${if (resets) "reset" else "kept"}") {
                DirectoryExchange(leads).use { exchange ->
                    exchange.start(announcement(1, BackendState.READY))
                    exchange.await { it?.sequence == 1L }
                    exchange.commit(Evacuations().start("a", index = 5, nowMs = 1))
                    if (resets) exchange.reset()
                    exchange.awaitEvacuations(5)
                    expectThat(exchange.evacuations().dataCentres.toSet()).isEqualTo(setOf("a"))
                    expectThat(exchange.evacuations().confirmed).isEqualTo(leads)
                    exchange.commit(Evacuations())
                    if (resets) exchange.reset()
                    exchange.renew(announcement(2, BackendState.LEAVING))
                    exchange.await { it?.state == BackendState.LEAVING }
                    expectThat(exchange.evacuations().revision).isEqualTo(5)
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
    private var document: StoredDocument? = null,
    knownVersion: Long = 0,
) : AutoCloseable {
    private val loops = EventLoops()
    private val address = Address("127.0.0.1", freePort())
    private var known = BackendDirectory()
    private val directoryServer = DirectoryServer(
        loops.controlTimers,
        DirectorySource({ known }, { emptyList() }, { document }, { evacuations }, { leads }, { emptyList() }),
    ) {}
    private val server = buildServer(address, loops.controlGroup, listOf(Calls().bindService()))
    private var received = BackendDirectory()
    private var receivedVersion = 0L
    private var documentCount = 0
    private var evacuations = Evacuations()
    private var receivedEvacuations = EvacuationView()
    private val receivedVersions = ArrayList<Long>()
    private val relay = ResettableRelay { address.port }
    private val client = DirectoryClient(
        loops.trafficGroup,
        loops.trafficTimers,
        listOf("127.0.0.1:${relay.port}"),
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
            receivedVersions += event.document.version
            receivedVersion = event.document.version
        }
        val told = event.evacuations
        receivedEvacuations = receivedEvacuations.onEvent(told.revision, told.dataCentresList, event.confirmed)
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

    /** Resets the connection of the watcher. */
    fun reset() = relay.resetAll()

    /** Puts [next] in force at the control instance. */
    fun commit(next: StoredDocument) {
        loops.control.submit {
            document = next
            directoryServer.onDocument()
        }.get()
    }

    /** Puts [next] in force at the control instance. */
    fun commit(next: Evacuations) {
        loops.control.submit {
            evacuations = next
            directoryServer.onEvacuations()
        }.get()
    }

    /** The evacuations that the watcher knows. */
    fun evacuations(): EvacuationView = loops.traffic.submit<EvacuationView> { receivedEvacuations }.get()

    /** Waits until the watcher knows [revision] of the evacuations. */
    fun awaitEvacuations(revision: Long) {
        val deadline = System.nanoTime() + WAIT_NANOS
        while (evacuations().revision < revision) {
            check(System.nanoTime() < deadline) { "revision $revision was not received in time" }
            Thread.sleep(POLL_MS)
        }
    }

    /** Versions of the documents that the watcher has received, in order. */
    fun versions(): List<Long> = loops.traffic.submit<List<Long>> { receivedVersions.toList() }.get()

    /** Waits until the watcher has received [version]. */
    fun awaitVersion(version: Long) {
        val deadline = System.nanoTime() + WAIT_NANOS
        while (version !in versions()) {
            check(System.nanoTime() < deadline) { "version $version was not received in time" }
            Thread.sleep(POLL_MS)
        }
    }

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
        relay.close()
        server.shutdownNow()
        loops.close()
    }

    private companion object {
        const val NOW_MS = 1_000_000L
        const val WAIT_NANOS = 20_000_000_000L
        const val POLL_MS = 10L
    }
}
