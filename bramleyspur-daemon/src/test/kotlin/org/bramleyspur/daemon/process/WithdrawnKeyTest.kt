package org.bramleyspur.daemon.process

import com.github.michaelbull.result.Ok
import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.daemon.forward.ATTEMPT_ID_HEADER
import org.bramleyspur.daemon.forward.ForwardTest
import org.bramleyspur.daemon.forward.Script
import org.bramleyspur.daemon.forward.ScriptedBackend
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.protocol.ConfigurationDocument
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Guards against a key that was withdrawn while an entry restarted, and that the entry takes from the document of a
 * follower until the leader's arrives, when a caller reaches it directly.
 */
class WithdrawnKeyTest : ForwardTest() {
    /** A control instance that sends what it is told to its only entry, first [greeting]. */
    private class Control(private val greeting: DirectoryEvent) : AutoCloseable {
        private val loops = EventLoops()
        private val watcher = CompletableFuture<StreamObserver<DirectoryEvent>>()
        private val greeted = CountDownLatch(1)
        private val listening = Address("127.0.0.1", freePort())
        private val server = buildServer(listening, loops.controlGroup, listOf(Calls().bindService()))
        val address = "127.0.0.1:${listening.port}"

        init {
            server.listen(listening)
        }

        private inner class Calls : DirectoryServiceGrpc.DirectoryServiceImplBase() {
            override fun watch(events: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> {
                watcher.complete(events)
                events.onNext(greeting)
                return object : StreamObserver<DirectoryRequest> {
                    override fun onNext(request: DirectoryRequest) {
                        if (request.documentVersion == greeting.documentVersion) greeted.countDown()
                    }

                    override fun onError(cause: Throwable) = Unit

                    override fun onCompleted() = Unit
                }
            }
        }

        /** Waits until the entry has the document of [greeting]. */
        fun awaitGreeted() = check(greeted.await(LIMIT_S, TimeUnit.SECONDS)) { "the entry received no document" }

        fun send(event: DirectoryEvent) = loops.control.submit { watcher.get().onNext(event) }.get()

        override fun close() {
            server.shutdownNow()
            loops.close()
        }
    }

    /** @property leaderVersion version of the document that the leader sends after the request; null for none */
    private class Case(val name: String, val leaderVersion: Long?, val status: Int, val requests: Int)

    private val cases = listOf(
        Case("the leader's document lacks the key", leaderVersion = 2, status = 401, requests = 0),
        Case("the leader has the follower's document", leaderVersion = 1, status = 200, requests = 1),
        Case("no leader in reach", leaderVersion = null, status = 503, requests = 0),
    )

    private val documents = mapOf(
        1L to document,
        2L to document.copy(
            version = 2,
            accounts = persistentListOf(DocumentAccount("acme", persistentListOf("other"), null)),
        ),
    )

    private fun event(version: Long, byLeader: Boolean, backend: ScriptedBackend) = DirectoryEvent.newBuilder()
        .setDocument(
            ConfigurationDocument.newBuilder()
                .setVersion(version)
                .setContent(ByteString.copyFromUtf8("$version")),
        )
        .setDocumentVersion(version)
        .setConfirmed(byLeader)
        .setEntries(1)
        .addAnnouncements(announcement(0, backend.address).toMessage(0))
        .build()

    private fun startEntry(control: Control): Pair<AgentlessEntryProcess, Int> {
        val front = freePort()
        val settings = AgentlessEntrySettings(
            instance = "e",
            dataCentre = "dc",
            frontAddress = Address("127.0.0.1", front),
            readyAddress = Address("127.0.0.1", freePort()),
            readyPath = "/ready",
            metricsAddress = null,
            seeds = listOf(control.address),
            retryBudgetRatio = 0.2,
            retryBudgetSlack = 10.0,
            retryBudgetWindowMs = 10_000,
            stopTimeoutMs = 1_000,
        )
        val dialect = EntryDialect(context.headers) { Ok(documents.getValue(it.decodeToString().toLong())) }
        val log = DecisionLog(PrintStream(OutputStream.nullOutputStream()), System::currentTimeMillis)
        return AgentlessEntryProcess(settings, dialect, log).also { it.start() } to front
    }

    private fun send(port: Int): Int? = RawClient(port).use { client ->
        client.send(
            "POST /once/1 HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 3000\r\n" +
                "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n",
        )
        client.read()?.status
    }

    @TestFactory
    fun `a request right after the start is admitted by the leader's document`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val backend = ScriptedBackend(Script(okResponse("hello"))).also { backends += it }
            Control(event(1, byLeader = false, backend)).use { control ->
                val (entry, port) = startEntry(control)
                control.awaitGreeted()
                val status = CompletableFuture.supplyAsync { send(port) }
                Thread.sleep(FOLLOWER_ONLY_MS)
                case.leaderVersion?.let { control.send(event(it, byLeader = true, backend)) }
                expectThat(status.get(LIMIT_S, TimeUnit.SECONDS)).isEqualTo(case.status)
                expectThat(backend.requests.size).isEqualTo(case.requests)
                entry.close()
            }
        }
    }

    private companion object {
        /** Many times what a request takes to the entry, and a small part of what it waits there. */
        const val FOLLOWER_ONLY_MS = 150L
        const val LIMIT_S = 5L
    }
}
