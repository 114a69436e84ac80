package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.document.RouteTarget
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.daemon.caller.RawResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit

/**
 * Guards against a request that ends without an answer, or with a refusal that neither version explains, because the
 * configuration or the list of backend servers changes while it is read, waits or runs.
 */
class ConfigurationCrossingTest : ForwardTest() {
    /** How far a request has come when the change arrives. */
    private enum class Step { HEAD_HALF_READ, BODY_HALF_READ, CONNECTING, SENT, RESPONDING, KEPT_CONNECTION, PIPELINED }

    /**
     * @property whileRead allowed statuses of a request that was not read whole before the change
     * @property after allowed statuses of a request that is sent after the change, or waits behind another one
     * @property holdMs time for which the request stays as it is after the change
     */
    private class Change(
        val name: String,
        val document: (Document) -> Document = { it },
        val servers: (List<Announcement>) -> List<Announcement> = { it },
        val whileRead: Set<Int> = setOf(200),
        val after: Set<Int> = whileRead,
        val holdMs: Long = 0,
        val before: (Document) -> Document = { it },
    )

    private val other = DocumentAccount("other", persistentListOf("another"), null)

    private val changes = listOf(
        Change("route to another service", { it.withTargets("t" to 1) }),
        Change("route dropped", { it.copy(routes = persistentListOf()) }, whileRead = setOf(404)),
        Change("service dropped", {
            it.withTargets("t" to 1).copy(services = it.services.toPersistentMap().remove("s"))
        }),
        Change("account dropped", { it.copy(accounts = persistentListOf(other)) }, whileRead = setOf(401)),
        Change("key to another account", {
            it.copy(accounts = persistentListOf(other.copy(keys = persistentListOf("key"))))
        }),
        Change("accounts added", before = { it.copy(accounts = null) }),
        Change("accounts removed", { it.copy(accounts = null) }),
        Change("smaller bodies", { it.withLimits { copy(maxBodyBytes = 1) } }, after = setOf(413)),
        Change("smaller heads", { it.withLimits { copy(maxHeaderBytes = 8) } }, after = setOf(431)),
        Change("shorter time for heads", { it.withLimits { copy(headerTimeoutMs = 50) } }, holdMs = HOLD_MS),
        Change("shorter idle time", { it.withLimits { copy(idleTimeoutMs = 50) } }, holdMs = HOLD_MS),
        Change("larger limits", {
            it.withLimits { ClientLimits(maxBodyBytes * 2, maxHeaderBytes * 2, 60_000, 60_000) }
        }),
        Change("shorter timeout", { it.withRoutes { copy(timeoutMs = 100) } }, holdMs = HOLD_MS),
        Change("one attempt", { it.withRoutes { copy(maxAttempts = 1) } }),
        Change("other weights", { it.withTargets("s" to 1, "t" to 3) }),
        Change("350 more routes", { it.copy(routes = it.routes.toPersistentList().addAll(moreRoutes())) }),
        Change("server gone", servers = { it.drop(1) }, whileRead = setOf(503)),
        Change("server leaving", servers = { list -> list.map { it.leaving() } }, whileRead = setOf(503)),
        Change("server of another service at the address", servers = {
            it.withFirst("b7", "t")
        }, whileRead = setOf(503)),
        Change("server restarted at the address", servers = { it.withFirst("b8", "s") }),
    )

    private fun moreRoutes() = List(350) { route("/more/$it/", RouteKind.IDEMPOTENT, 2) }

    private fun Announcement.leaving() = if (service == "s") copy(state = BackendState.LEAVING, sequence = 2) else this

    private fun List<Announcement>.withFirst(id: String, service: String) =
        listOf(first().copy(id = id, service = service, startedAtMs = 2)) + drop(1)

    private fun Document.withRoutes(change: DocumentRoute.() -> DocumentRoute) =
        copy(routes = routes.map { it.change() }.toPersistentList())

    private fun Document.withTargets(vararg targets: Pair<String, Int>) = withRoutes {
        copy(targets = targets.map { RouteTarget(it.first, it.second) }.toPersistentList())
    }

    private fun Document.withLimits(change: ClientLimits.() -> ClientLimits) = copy(limits = limits.change())

    private val firstDocument = document.copy(
        services = persistentMapOf(
            "s" to DocumentService("s", 100, null, persistentListOf()),
            "t" to DocumentService("t", 100, null, persistentListOf()),
        ),
    )
    private var version = 1L

    @TestFactory
    fun `requests that cross a change`() = Step.entries.flatMap { step ->
        changes.map { change -> DynamicTest.dynamicTest("$step, ${change.name}") { cross(step, change) } }
    }

    private fun cross(step: Step, change: Change) = unresponsiveAddress(step == Step.CONNECTING) { unresponsive ->
        val (start, end) = if (step == Step.RESPONDING) STREAM_PARTS else okResponse("body") to ""
        GatedBackend(start, end).use { first ->
            GatedBackend(okResponse("body"), "").use { second ->
                second.open()
                val servers = listOf(
                    announcement(0, unresponsive ?: first.address),
                    announcement(1, second.address, if (unresponsive == null) "t" else "s"),
                )
                apply(change.before(firstDocument).copy(version = ++version), servers)
                RawClient(port).use { client ->
                    cross(step, change, client, first) {
                        apply(change.document(firstDocument).copy(version = ++version), change.servers(servers))
                        Thread.sleep(change.holdMs)
                    }
                }
            }
        }
    }

    private fun cross(step: Step, change: Change, client: RawClient, backend: GatedBackend, apply: () -> Unit) {
        val path = if (step == Step.RESPONDING) "/stream/1" else "/once/1"
        val head = "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 2000\r\n" +
            "Authorization: Bearer key\r\nContent-Length: 4\r\n\r\n"
        fun sendAround(sent: String, rest: String, wait: () -> Unit) {
            client.send(sent)
            wait()
            apply()
            backend.open()
            client.send(rest)
        }
        when (step) {
            Step.HEAD_HALF_READ -> sendAround(head.take(30), head.drop(30) + "body") { Thread.sleep(READ_MS) }
            Step.BODY_HALF_READ -> sendAround(head + "bo", "dy") { Thread.sleep(READ_MS) }
            Step.CONNECTING -> sendAround(head + "body", "") { Thread.sleep(READ_MS) }
            Step.SENT -> sendAround(head + "body", "") { backend.received.await(1, TimeUnit.SECONDS) }
            Step.PIPELINED -> sendAround(head + "body" + head + "body", "") {
                backend.received.await(1, TimeUnit.SECONDS)
            }
            Step.KEPT_CONNECTION -> {
                backend.open()
                client.send(head + "body")
                expectAnswer(client.read(), setOf(200))
                apply()
                client.send(head + "body")
            }
            Step.RESPONDING -> {
                sendAround(head + "body", "") {
                    backend.startGate.countDown()
                    client.readUntil("data: a")
                }
                return client.readUntil("data: b\n\n\r\n0\r\n\r\n")
            }
        }
        expectAnswer(client.read(), allowed(step, change))
        if (step == Step.PIPELINED) expectAnswer(client.read(), change.whileRead + change.after)
    }

    private fun allowed(step: Step, change: Change): Set<Int> = when (step) {
        Step.HEAD_HALF_READ, Step.BODY_HALF_READ -> change.whileRead
        Step.KEPT_CONNECTION -> change.after
        // A request that no server has received may be refused when the servers that it waits for go.
        Step.CONNECTING -> if (change.whileRead == setOf(503)) setOf(200, 503) else setOf(200)
        else -> setOf(200)
    }

    private fun expectAnswer(response: RawResponse?, allowed: Set<Int>) {
        expectThat(allowed).contains(response?.status ?: 0)
        expectThat(response?.complete).isEqualTo(true)
    }

    /** Runs [block] with the address of a listener whose queue of connections is full, or with null. */
    private fun unresponsiveAddress(needed: Boolean, block: (String?) -> Unit) {
        if (!needed) return block(null)
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val fillers = List(FILLERS) { Socket() }
            fillers.forEach { runCatching { it.connect(InetSocketAddress(server.inetAddress, server.localPort), 50) } }
            block("127.0.0.1:${server.localPort}")
            fillers.forEach { it.close() }
        }
    }

    private companion object {
        /** Longer than the interval in which time limits are checked. */
        const val HOLD_MS = 300L
        const val FILLERS = 4

        /** Time for the entry to read what was sent. */
        const val READ_MS = 30L
        val STREAM_PARTS = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\n" +
            "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n" to
            "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
    }
}
