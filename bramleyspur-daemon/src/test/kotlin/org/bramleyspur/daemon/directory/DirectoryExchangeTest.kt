package org.bramleyspur.daemon.directory

import io.grpc.stub.StreamObserver
import kotlinx.collections.immutable.persistentListOf
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
}

/** A control instance and a watcher, connected over loopback. */
private class DirectoryExchange : AutoCloseable {
    private val loops = EventLoops()
    private val address =
        Address("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })
    private var known = BackendDirectory()
    private val directoryServer = DirectoryServer(
        loops.controlTimers,
        DirectorySource({ known }, { emptyList() }, { null }, { true }, { emptyList() }),
    ) {}
    private val server = buildServer(address, loops.controlGroup, listOf(Calls().bindService()))
    private var received = BackendDirectory()
    private val client = DirectoryClient(
        loops.trafficGroup,
        loops.trafficTimers,
        listOf(address.toString()),
        null,
        { DirectoryRequest.newBuilder().setEntry(true).build() },
    ) { from, event -> onEvent(from, event) }

    private inner class Calls : DirectoryServiceGrpc.DirectoryServiceImplBase() {
        override fun watch(events: StreamObserver<DirectoryEvent>) = directoryServer.watch(events)
    }

    private fun onEvent(from: String, event: DirectoryEvent) {
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
