package org.bramleyspur.daemon.member

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.unwrap
import com.google.protobuf.ByteString
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.control.state.ReplaceDocument
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.ResettableRelay
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.process.EventLoops
import org.bramleyspur.daemon.process.buildServer
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Guards against a document that is lost, or reverts, because the connections between the control members are reset on
 * its way: before it is proposed, with the proposal, some time after it, and when a member applies it.
 */
class ConnectionResetTest {
    @TempDir
    lateinit var directory: Path

    /** When all connections are reset: at [applied] members that have applied the document, or after [delaysMs]. */
    private class Case(val name: String, val delaysMs: List<Long> = emptyList(), val applied: Int? = null)

    private val cases = listOf(
        Case("no reset"),
        Case("with the proposal", listOf(0)),
        Case("1 ms after the proposal", listOf(1)),
        Case("3 ms after the proposal", listOf(3)),
        Case("10 ms after the proposal", listOf(10)),
        Case("when the leader has applied it", applied = 1),
        Case("when a follower has applied it", applied = 2),
        Case("when all members have applied it", applied = 3),
        Case("again and again for a second", (0L..1_000L step 25).toList()),
    )

    @TestFactory
    fun `an acknowledged document is in force on all members`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            Members(Files.createDirectories(directory.resolve("${cases.indexOf(case)}"))).use { members ->
                var version = 0L
                repeat(DOCUMENTS) {
                    version++
                    members.onApplied = { count -> if (count == case.applied) members.resetAll() }
                    val accepted = CompletableFuture.supplyAsync { members.replaceUntilAccepted(version) }
                    var atMs = 0L
                    for (delayMs in case.delaysMs) {
                        Thread.sleep(delayMs - atMs)
                        atMs = delayMs
                        members.resetAll()
                    }
                    accepted.get(WAIT_S, TimeUnit.SECONDS)
                    members.awaitAll(version)
                }
                expectThat(members.versions()).isEqualTo(List(MEMBERS) { version })
                expectThat(members.reversals).isEmpty()
            }
        }
    }

    /** Three members on loopback, each behind a relay. */
    private class Members(directory: Path) : AutoCloseable {
        private val ports = List(MEMBERS) { freePort() }
        private val relays = ports.map { port -> ResettableRelay { port } }
        private val addresses = relays.map { "127.0.0.1:${it.port}" }
        private val all = addresses.indices.map { Member(it, directory.resolve("$it")) }
        val reversals = java.util.concurrent.CopyOnWriteArrayList<String>()

        /** Called with the number of members that have applied the last document. */
        @Volatile
        var onApplied: (Int) -> Unit = {}

        init {
            all.forEach { it.start() }
        }

        fun resetAll() = relays.forEach { it.resetAll() }

        /** Proposes the document to the leader until it is accepted, as an operator without an answer does. */
        fun replaceUntilAccepted(version: Long) {
            val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
            while (all.none { it.replace(version) }) {
                check(System.nanoTime() < deadline) { "version $version was not accepted in time" }
                Thread.sleep(POLL_MS)
            }
        }

        fun versions(): List<Long> = all.map { it.version }

        fun awaitAll(version: Long) {
            val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
            while (versions().any { it < version }) {
                check(System.nanoTime() < deadline) { "the members have ${versions()} instead of $version" }
                Thread.sleep(POLL_MS)
            }
        }

        override fun close() {
            all.forEach { it.close() }
            relays.forEach { it.close() }
        }

        private inner class Member(private val number: Int, directory: Path) : ControlNodeListener {
            private val loops = EventLoops()
            private val storageThread = Executors.newSingleThreadExecutor()
            private val transport = PeerTransport(loops.controlGroup)
            private val address = Address("127.0.0.1", ports[number])
            private val storage = LogStorage.open(
                DiskFileSystem(Files.createDirectories(directory)),
                FirstStart.Bootstrap(addresses[number], addresses.associateWith { it }),
            ).unwrap()
            private val node = ControlNode(
                storage,
                addresses[number],
                loops.control,
                loops.controlTimers,
                storageThread,
                transport,
                this,
                SNAPSHOT_ENTRIES,
                { error(it.message) },
                { null },
            )
            private val server = buildServer(
                address,
                loops.controlGroup,
                listOf(
                    PeerService {
                        transport.onMessageFrom(it.fromAddress)
                        node.receive(it)
                    }.bindService(),
                ),
            )

            @Volatile
            var version = 0L
                private set

            fun start() {
                loops.control.submit { node.start() }.get()
                server.listen(address)
            }

            fun replace(version: Long): Boolean {
                val accepted = CompletableFuture<Boolean>()
                loops.control.execute {
                    if (node.leadingTerm() == null) {
                        accepted.complete(false)
                    } else {
                        val document = StoredDocument(version, ByteString.copyFromUtf8("version $version"))
                        node.propose(ReplaceDocument(document)) { result ->
                            accepted.complete(result.fold({ true }, { false }))
                        }
                    }
                }
                return runCatching { accepted.get(PROPOSE_LIMIT_MS, TimeUnit.MILLISECONDS) }.getOrDefault(false)
            }

            override fun onLeading(term: Long) = Unit

            override fun onLeadershipLost() = Unit

            override fun onStateChanged(before: ControlState, after: ControlState) {
                val next = after.document?.version ?: 0
                if (next < version) reversals += "member $number went from $version to $next"
                if (next == version) return
                version = next
                onApplied(versions().count { it == next })
            }

            fun close() {
                server.shutdownNow()
                loops.control.submit { node.close() }.get()
                transport.close()
                storageThread.shutdown()
                loops.close()
            }
        }
    }

    private companion object {
        const val MEMBERS = 3
        const val DOCUMENTS = 2
        const val WAIT_S = 30L
        const val POLL_MS = 20L
        const val PROPOSE_LIMIT_MS = 3_000L
        const val SNAPSHOT_ENTRIES = 200L
    }
}
