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
import java.io.OutputStream
import java.io.PrintStream
import java.util.Random

internal const val ATTEMPT_ID_HEADER = "X-Id"
internal const val SEAL_HEADER = "X-Seal"

/** An entry on loopback in front of scripted backend servers. */
abstract class ForwardTest {
    internal val loops = EventLoops()
    internal val backends = ArrayList<ScriptedBackend>()
    private val headerNames = ForwardHeaders(
        attemptId = ATTEMPT_ID_HEADER,
        remainingMs = "X-Left",
        target = "X-Target",
        account = "X-Account",
        model = "X-Model",
        tokenCounts = "X-Tokens",
        promptParts = "X-Parts",
        lastEventId = "Last-Event-Id",
        notExecuted = "X-Not",
        load = "X-Load",
        seal = SEAL_HEADER,
        urgency = "X-Urgency",
    )
    private val log = DecisionLog(PrintStream(OutputStream.nullOutputStream()), { 0L })
    internal val context = ForwardContext(
        loops.trafficTimers,
        headerNames,
        BackendLoads(loops.trafficGroup, loops.trafficTimers, headerNames),
        log,
        ForwardMetrics(PrometheusRegistry()),
        PromptPartGuard(loops.trafficTimers, log, delayFactor = 1.0) {},
        "dc",
        Random(1),
        onUnresponsive = {},
    ) { WindowedRetryBudget(0.2, 10_000.0, 10_000) { 1 } }
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
            route("/stream3/", RouteKind.STREAMING, 3),
        ),
        services = persistentMapOf("s" to DocumentService("s", 100, null, persistentListOf())),
        accounts = persistentListOf(DocumentAccount("acme", persistentListOf("key"), null)),
        limits = ClientLimits(maxBodyBytes = 100),
    )

    /** Starts backend servers and announces them; the first one is preferred, being in the entry's data centre. */
    internal fun startBackends(vararg scripts: List<Script>) {
        val started = scripts.map { ScriptedBackend(*it.toTypedArray()) }
        backends += started
        announce(started.map { it.address })
    }

    /** Announces backend servers at [addresses]; the first one is preferred. */
    internal fun announce(addresses: List<String>) {
        val directory = addresses.foldIndexed(BackendDirectory()) { index, directory, address ->
            val announcement = Announcement(
                id = "b$index",
                startedAtMs = 1,
                sequence = 1,
                service = "s",
                address = address,
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

    internal fun post(
        path: String,
        extraHeaders: String = "",
        key: String = "key",
        body: String = "",
        id: String = "7",
    ): RawResponse? = RawClient(port).use { client ->
        client.send(
            "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: $id\r\nX-Left: 2000\r\n" +
                "Authorization: Bearer $key\r\n${extraHeaders}Content-Length: ${body.length}\r\n\r\n$body",
        )
        client.read()
    }

    /** Sends a request of a caller that reads nothing of the response. */
    internal fun sendWithoutReading(path: String): RawClient = RawClient(port).also {
        it.send(
            "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 2000\r\n" +
                "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n",
        )
    }

    internal fun okResponse(body: String, id: String = "7") =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: $id\r\n$SEAL_HEADER: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    internal fun streamResponse(vararg events: String, complete: Boolean) =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
            events.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + if (complete) "0\r\n\r\n" else ""
}
