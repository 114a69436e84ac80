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
import org.bramleyspur.daemon.caller.RawAnswer
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.daemon.process.Loops
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.SecondSendBudget
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

private const val ID = "X-Id"
private const val SEAL = "X-Seal"

/**
 * Guards against a request that runs twice, a refusal as not run of one that may have run, an answer that is cut,
 * doubled or another request's, and headers that a backend server must not see.
 */
class ForwardedRequestTest {
    private val loops = Loops()
    private val backends = ArrayList<ScriptedBackend>()
    private val names = ForwardHeaders(
        attemptId = ID,
        remainingMs = "X-Left",
        target = "X-Target",
        account = "X-Account",
        model = "X-Model",
        tokenCounts = "X-Tokens",
        lastEventId = "Last-Event-Id",
        notExecuted = "X-Not",
        load = "X-Load",
        seal = SEAL,
        urgency = "X-Urgency",
    )
    private val log = DecisionLog(PrintStream(OutputStream.nullOutputStream()), { 0L })
    private val context = ForwardContext(
        loops.trafficTimers,
        names,
        BackendLoads(loops.trafficGroup, loops.trafficTimers, names),
        log,
        ForwardMetrics(PrometheusRegistry()),
        "dc",
        Random(1),
        onSilent = {},
    ) { SecondSendBudget(0.2, 100.0, 10_000) { 1 } }
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

    /** Puts backend servers in the directory; the first one is preferred, since the others are farther away. */
    private fun serve(vararg scripts: List<Script>) {
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

    private fun ask(path: String, extra: String = "", key: String = "key", body: String = ""): RawAnswer? =
        RawClient(port).use { client ->
            client.send(
                "POST $path HTTP/1.1\r\nHost: h\r\n$ID: 7\r\nX-Left: 2000\r\nAuthorization: Bearer $key\r\n$extra" +
                    "Content-Length: ${body.length}\r\n\r\n$body",
            )
            client.read()
        }

    private fun whole(body: String, id: String = "7") =
        "HTTP/1.1 200 OK\r\n$ID: $id\r\n$SEAL: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun streamed(vararg events: String, last: Boolean) =
        "HTTP/1.1 200 OK\r\n$ID: 7\r\n$SEAL: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
            events.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + if (last) "0\r\n\r\n" else ""

    @Test
    fun `an answer passes unchanged and the backend server sees its own headers only`() {
        serve(listOf(Script(whole("hello"))))
        val answer = ask("/once/1")!!
        expectThat(answer.status to answer.body).isEqualTo(200 to "hello")
        expectThat(answer.header(SEAL)).isEqualTo("s")
        val request = backends[0].requests.single().lowercase()
        expectThat(request).contains("x-target: b0").contains("x-account: acme")
        expectThat("authorization" in request).isFalse()
    }

    @Test
    fun `a request that may run once is not sent again without a proof`() {
        serve(listOf(Script("", close = true)), listOf(Script(whole("second"))))
        expectThat(ask("/once/1")!!.status).isEqualTo(502)
        expectThat(backends.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `a proof of not run is passed on as a refusal with a time to come back`() {
        serve(listOf(Script("HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n")))
        val answer = ask("/once/1")!!
        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.header("Retry-After").toDouble() > 0).isTrue()
    }

    @Test
    fun `an idempotent request is sent to another backend server`() {
        serve(listOf(Script("", close = true)), listOf(Script(whole("second"))))
        expectThat(ask("/again/1")!!.body).isEqualTo("second")
    }

    @Test
    fun `a plain answer that is cut does not look complete and is not continued by another one`() {
        val cut = "HTTP/1.1 200 OK\r\n$ID: 7\r\n$SEAL: s\r\nContent-Length: 10\r\n\r\nabc"
        serve(listOf(Script(cut, close = true)), listOf(Script(whole("0123456789"))))
        val answer = ask("/again/1")!!
        expectThat(answer.whole).isFalse()
        expectThat(answer.body).isEqualTo("abc")
    }

    @Test
    fun `a stream continues at its last whole event`() {
        val broken = streamed("id: 1\ndata: a\n\n", "id: 2\nda", last = false)
        val rest = streamed("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", last = true)
        serve(listOf(Script(broken, close = true)), listOf(Script(rest)))
        val answer = ask("/stream/1")!!
        expectThat(answer.whole).isTrue()
        expectThat(answer.body).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        expectThat(backends[1].requests.single().lowercase()).contains("last-event-id: 1")
    }

    @Test
    fun `an answer to another request is skipped`() {
        serve(listOf(Script(whole("stranger", id = "6") + whole("mine"))))
        expectThat(ask("/again/1")!!.body).isEqualTo("mine")
    }

    @Test
    fun `requests that the configuration does not allow`() {
        expectThat(ask("/once/1")!!.status).isEqualTo(503)
        serve(listOf(Script(whole("hello"))))
        expectThat(ask("/nowhere/")!!.status).isEqualTo(404)
        expectThat(ask("/once/1", key = "stolen")!!.status).isEqualTo(401)
        expectThat(ask("/once/1", body = "x".repeat(101))!!.status).isEqualTo(413)
        expectThat(backends[0].requests).hasSize(0)
    }
}
