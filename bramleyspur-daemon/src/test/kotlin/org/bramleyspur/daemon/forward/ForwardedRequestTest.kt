package org.bramleyspur.daemon.forward

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.document.RouteTarget
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.daemon.caller.RawResponse
import org.bramleyspur.daemon.process.EventLoops
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.WindowedRetryBudget
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.OutputStream
import java.io.PrintStream
import java.util.Random

private const val ATTEMPT_ID_HEADER = "X-Id"
private const val SEAL_HEADER = "X-Seal"

/**
 * Guards against a request that runs twice, a request that may have run but is reported as not run, a response that is
 * truncated, duplicated or another request's, and headers that must not reach a backend server.
 */
class ForwardedRequestTest {
    private val loops = EventLoops()
    private val backends = ArrayList<ScriptedBackend>()
    private val headerNames = ForwardHeaders(
        attemptId = ATTEMPT_ID_HEADER,
        remainingMs = "X-Left",
        target = "X-Target",
        account = "X-Account",
        model = "X-Model",
        tokenCounts = "X-Tokens",
        lastEventId = "Last-Event-Id",
        notExecuted = "X-Not",
        load = "X-Load",
        seal = SEAL_HEADER,
        urgency = "X-Urgency",
    )
    private val log = DecisionLog(PrintStream(OutputStream.nullOutputStream()), { 0L })
    private val context = ForwardContext(
        loops.trafficTimers,
        headerNames,
        BackendLoads(loops.trafficGroup, loops.trafficTimers, headerNames),
        log,
        ForwardMetrics(PrometheusRegistry()),
        "dc",
        Random(1),
        onUnresponsive = {},
    ) { WindowedRetryBudget(0.2, 100.0, 10_000) { 1 } }
    private val front = FrontServer(loops.trafficGroup, context)
    private val port = front.start(Address("127.0.0.1", 0))

    @AfterEach
    fun close() {
        backends.forEach { it.close() }
        loops.close()
    }

    private fun route(path: String, kind: RouteKind, attempts: Int) = DocumentRoute(
        name = path,
        host = "h",
        pathPrefix = path,
        kind = kind,
        timeoutMs = 3_000,
        targetLatencyMs = 1_000,
        priority = 0,
        targets = persistentListOf(RouteTarget("s", 1)),
        maxAttempts = attempts,
        isPublic = false,
        resumable = true,
        targetEventIntervalMs = null,
    )

    private val document = Document(
        version = 1,
        routes = persistentListOf(
            route("/once/", RouteKind.NON_IDEMPOTENT, 1),
            route("/again/", RouteKind.IDEMPOTENT, 2),
            route("/stream/", RouteKind.STREAMING, 2),
        ),
        services = persistentMapOf("s" to DocumentService("s", 100, null, persistentListOf())),
        accounts = persistentListOf(DocumentAccount("acme", persistentListOf("key"), null)),
        limits = ClientLimits(maxBodyBytes = 100),
    )

    /** Starts backend servers and announces them; the first one is preferred, being in the entry's data centre. */
    private fun startBackends(vararg scripts: List<Script>) {
        val started = scripts.map { ScriptedBackend(*it.toTypedArray()) }
        backends += started
        val directory = started.foldIndexed(BackendDirectory()) { index, directory, backend ->
            val announcement = Announcement(
                id = "b$index",
                startedAtMs = 1,
                sequence = 1,
                service = "s",
                address = backend.address,
                dataCentre = if (index == 0) "dc" else "other",
                slots = 4,
                state = BackendState.READY,
                fabricDomain = "",
                stagedModels = persistentListOf(),
                groupMembership = null,
            )
            directory.withAnnouncement(announcement, 0)
        }
        loops.traffic.submit {
            context.routes = RouteTable(document)
            context.directory = directory
        }.get()
    }

    private fun post(path: String, extraHeaders: String = "", key: String = "key", body: String = ""): RawResponse? =
        RawClient(port).use { client ->
            client.send(
                "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 2000\r\n" +
                    "Authorization: Bearer $key\r\n${extraHeaders}Content-Length: ${body.length}\r\n\r\n$body",
            )
            client.read()
        }

    private fun okResponse(body: String, id: String = "7") =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: $id\r\n$SEAL_HEADER: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun streamResponse(vararg events: String, complete: Boolean) =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
            events.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + if (complete) "0\r\n\r\n" else ""

    @Test
    fun `a response is forwarded unchanged and the backend server sees only the headers meant for it`() {
        startBackends(listOf(Script(okResponse("hello"))))
        val response = post("/once/1")!!
        expectThat(response.status to response.body).isEqualTo(200 to "hello")
        expectThat(response.header(SEAL_HEADER)).isEqualTo("s")
        val request = backends[0].requests.single().lowercase()
        expectThat(request).contains("x-target: b0").contains("x-account: acme")
        expectThat("authorization" in request).isFalse()
    }

    @Test
    fun `a non-idempotent request is not retried without proof that it did not run`() {
        startBackends(listOf(Script("", close = true)), listOf(Script(okResponse("second"))))
        expectThat(post("/once/1")!!.status).isEqualTo(502)
        expectThat(backends.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `a request that provably did not run is refused with a retry delay`() {
        startBackends(listOf(Script("HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n")))
        val response = post("/once/1")!!
        expectThat(response.status).isEqualTo(503)
        expectThat(response.header("Retry-After").toDouble() > 0).isTrue()
    }

    @Test
    fun `an idempotent request is retried on another backend server`() {
        startBackends(listOf(Script("", close = true)), listOf(Script(okResponse("second"))))
        expectThat(post("/again/1")!!.body).isEqualTo("second")
    }

    @Test
    fun `a truncated plain response stays incomplete and is not continued by another backend server`() {
        val truncated = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nContent-Length: 10\r\n\r\nabc"
        startBackends(listOf(Script(truncated, close = true)), listOf(Script(okResponse("0123456789"))))
        val response = post("/again/1")!!
        expectThat(response.complete).isFalse()
        expectThat(response.body).isEqualTo("abc")
    }

    @Test
    fun `a stream resumes after its last complete event`() {
        val interrupted = streamResponse("id: 1\ndata: a\n\n", "id: 2\nda", complete = false)
        val resumed = streamResponse("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", complete = true)
        startBackends(listOf(Script(interrupted, close = true)), listOf(Script(resumed)))
        val response = post("/stream/1")!!
        expectThat(response.complete).isTrue()
        expectThat(response.body).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        expectThat(backends[1].requests.single().lowercase()).contains("last-event-id: 1")
    }

    @Test
    fun `a response to another request is skipped`() {
        startBackends(listOf(Script(okResponse("other", id = "6") + okResponse("expected"))))
        expectThat(post("/again/1")!!.body).isEqualTo("expected")
    }

    @Test
    fun `requests that the configuration does not allow are refused`() {
        expectThat(post("/once/1")!!.status).isEqualTo(503)
        startBackends(listOf(Script(okResponse("hello"))))
        expectThat(post("/nowhere/")!!.status).isEqualTo(404)
        expectThat(post("/once/1", key = "unknown")!!.status).isEqualTo(401)
        expectThat(post("/once/1", body = "x".repeat(101))!!.status).isEqualTo(413)
        expectThat(backends[0].requests).hasSize(0)
    }
}
