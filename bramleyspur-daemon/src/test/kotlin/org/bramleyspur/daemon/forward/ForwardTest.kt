package org.bramleyspur.daemon.forward

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
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
import org.bramleyspur.traffic.cold.ColdBounds
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.WindowedRetryBudget
import org.junit.jupiter.api.AfterEach
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.Random
import java.util.random.RandomGenerator

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
        leaving = "X-Leaving",
        seal = SEAL_HEADER,
        urgency = "X-Urgency",
        coldRemainingMs = "X-Cold",
    )
    private val logBytes = ByteArrayOutputStream()
    private val log = DecisionLog(PrintStream(logBytes), { onLogLine().let { 0L } })

    /** Runs before a line is logged. */
    @Volatile
    internal var onLogLine: () -> Unit = {}
    internal val registry = PrometheusRegistry()

    internal var random: RandomGenerator = Random(1)
    internal val timers = HoldableTimers(loops.trafficTimers)
    internal val context = ForwardContext(
        timers,
        headerNames,
        BackendLoads(loops.trafficGroup, loops.trafficTimers, headerNames),
        log,
        ForwardMetrics(registry),
        PromptPartGuard(loops.trafficTimers, log, delayFactor = 1.0) {},
        "dc",
        RandomGenerator { random.nextLong() },
        onUnresponsive = {},
        regions = mapOf("dc" to "r1", "other" to "r2"),
        coldSettings = ColdSettings(ColdBounds(factor = 1.0, slack = 0.0), announcementIntervalMs = 1_000),
    ) { WindowedRetryBudget(0.2, 10_000.0, 10_000) { 1 } }
    internal val front = FrontServer(loops.trafficGroup, context)
    internal val port = front.start(Address("127.0.0.1", 0))

    /** The lines of the log with [event]; waits for the first one. */
    internal fun logLines(event: String): List<String> {
        val deadline = System.nanoTime() + LOG_WAIT_NS
        while (true) {
            val lines = logBytes.toString().lines().filter { "\"event\":\"$event\"" in it }
            if (lines.isNotEmpty() || System.nanoTime() > deadline) return lines
            Thread.sleep(5)
        }
    }

    @AfterEach
    fun close() {
        backends.forEach { it.close() }
        loops.close()
    }

    internal fun route(path: String, kind: RouteKind, attempts: Int, service: String = "s") = DocumentRoute(
        name = path,
        host = "h",
        pathPrefix = path,
        kind = kind,
        timeoutMs = 3_000,
        targetLatencyMs = 1_000,
        priority = 0,
        targets = persistentListOf(RouteTarget(service, 1)),
        maxAttempts = attempts,
        isPublic = false,
        resumable = true,
        targetEventIntervalMs = null,
    )

    internal val document = document(
        listOf(
            route("/once/", RouteKind.NON_IDEMPOTENT, 1),
            route("/again/", RouteKind.IDEMPOTENT, 2),
            route("/stream/", RouteKind.STREAMING, 2),
            route("/stream3/", RouteKind.STREAMING, 3),
        ),
    )

    internal fun document(routes: List<DocumentRoute>) = Document(
        version = 1,
        routes = routes.toPersistentList(),
        services = routes.flatMap { it.targets }
            .associate { it.service to DocumentService(it.service, 100, null, persistentListOf()) }
            .toPersistentMap(),
        accounts = persistentListOf(DocumentAccount("acme", persistentListOf("key"), null)),
        limits = ClientLimits(maxBodyBytes = 100),
    )

    /** Starts backend servers and announces them; the first one is preferred, being in the entry's data centre. */
    internal fun startBackends(vararg scripts: List<Script>) =
        startServices(document, mapOf("s" to scripts.map { ScriptedBackend(*it.toTypedArray()) }))

    /** Announces the backend servers of each service, of which the first one is preferred. */
    internal fun startServices(document: Document, services: Map<String, List<ScriptedBackend>>) {
        backends += services.values.flatten()
        val announcements = services.flatMap { (service, started) ->
            started.mapIndexed { index, backend -> announcement(index, backend.address, service) }
        }
        apply(document, announcements)
    }

    internal fun announcement(index: Int, address: String, service: String = "s") = Announcement(
        id = if (service == "s") "b$index" else "$service-$index",
        startedAtMs = 1,
        sequence = 1,
        service = service,
        address = address,
        dataCentre = if (index == 0) "dc" else "other",
        slots = 4,
        state = BackendState.READY,
        fabricDomain = "",
        stagedModels = persistentListOf(),
        groupMembership = null,
    )

    /** Puts a document and a list of backend servers in force. */
    internal fun apply(document: Document, announcements: List<Announcement>) = loops.traffic.submit {
        context.routes = RouteTable(document)
        context.directory = announcements.fold(BackendDirectory()) { all, next -> all.withAnnouncement(next, 0) }
    }.get().let { }

    /** Waits until the log has a line that contains all of [parts], and returns it. */
    internal fun logLine(vararg parts: String): String? {
        repeat(LOG_POLLS) {
            logBytes.toString().lines().firstOrNull { line -> parts.all { it in line } }?.let { return it }
            Thread.sleep(LOG_POLL_MS)
        }
        return null
    }

    /** Value of the counter [name] with [label]; 0 if it has not been counted. */
    internal fun counted(name: String, label: String): Double = registry.scrape { it == name }
        .flatMap { it.dataPoints }
        .filterIsInstance<CounterSnapshot.CounterDataPointSnapshot>()
        .filter { point -> point.labels.any { it.value == label } }
        .sumOf { it.value }

    /** Announces backend servers at [addresses]; the first one is preferred. */
    internal fun announce(addresses: List<String>) =
        apply(document, addresses.mapIndexed { index, address -> announcement(index, address) })

    internal fun post(
        path: String,
        extraHeaders: String = "",
        key: String = "key",
        body: String = "",
        remainingMs: Long = 2_000,
        id: String = "7",
    ): RawResponse? = RawClient(port).use { client ->
        client.send(
            "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: $id\r\nX-Left: $remainingMs\r\n" +
                "Authorization: Bearer $key\r\n${extraHeaders}Content-Length: ${body.length}\r\n\r\n$body",
        )
        client.read()
    }

    /** Sends a request of a caller that reads nothing of the response. */
    internal fun sendWithoutReading(path: String, remainingMs: Long = 2_000, atPort: Int = port) =
        RawClient(atPort).also {
            it.send(
                "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: $remainingMs\r\n" +
                    "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n",
            )
        }

    internal fun okResponse(body: String, id: String = "7") =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: $id\r\n$SEAL_HEADER: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    internal fun streamResponse(vararg events: String, complete: Boolean) =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
            events.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + if (complete) "0\r\n\r\n" else ""

    private companion object {
        const val LOG_WAIT_NS = 1_000_000_000L
        const val LOG_POLLS = 100
        const val LOG_POLL_MS = 10L
    }
}
