/*
 * An entry and its agents in the test process, connected through loopback sockets. The test sets the entry's snapshot,
 * which the control leader would otherwise provide.
 */
package org.bramleyspur.daemon.caller

import io.grpc.Server
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.Route
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.Tracing
import org.bramleyspur.daemon.agent.AgentClient
import org.bramleyspur.daemon.caller.request.ClaimClient
import org.bramleyspur.daemon.caller.request.DeploymentSnapshot
import org.bramleyspur.daemon.caller.request.EntryHandler
import org.bramleyspur.daemon.caller.request.EntryMetrics
import org.bramleyspur.daemon.caller.request.EntryServices
import org.bramleyspur.daemon.caller.request.digestOf
import org.bramleyspur.daemon.engine.EngineRunner
import org.bramleyspur.daemon.engine.OpenAiEngine
import org.bramleyspur.daemon.entry.AgentMetrics
import org.bramleyspur.daemon.entry.AgentService
import org.bramleyspur.daemon.entry.AttemptManager
import org.bramleyspur.daemon.entry.ServingGate
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.daemon.plain.PlainRunner
import org.bramleyspur.daemon.process.EventLoops
import org.bramleyspur.daemon.process.buildServer
import org.bramleyspur.traffic.routing.LinkCost
import org.bramleyspur.traffic.routing.Router
import org.bramleyspur.traffic.routing.RoutingSettings
import java.util.Random

internal const val HOST = "127.0.0.1"

/**
 * Service `m` with one agent per port in [engines], and service `p` with one agent per port in [plains]. The client
 * account `shop` with the API key `key` may call both.
 */
internal class TrafficTestBed(
    engines: List<Int> = emptyList(),
    plains: List<Int> = emptyList(),
    limits: CallerLimits = CallerLimits(),
    timeoutMs: Long = 10_000,
    entryTracing: Tracing = Tracing.disabled(),
    agentTracing: Tracing = Tracing.disabled(),
) : AutoCloseable {
    val entryLoops = EventLoops()
    val agentLoops = EventLoops()
    val agents = engines.mapIndexed { n, port -> TestBedAgent("m", "engine-$n", port, agentLoops, agentTracing) } +
        plains.mapIndexed { n, port -> TestBedAgent("p", "plain-$n", port, agentLoops, agentTracing) }

    @Volatile
    var snapshot = DeploymentSnapshot(
        Configuration(
            Revision(1),
            persistentMapOf(
                "m" to service("m", ServiceKind.MODEL, timeoutMs),
                "p" to service("p", ServiceKind.PLAIN, timeoutMs),
            ),
            persistentMapOf("shop" to Account("shop", digestOf("key"), patienceMs = 5_000)),
        ),
        RouteTable(routes = agents.map { it.route }.toPersistentList()),
        leaseUntilMs = Long.MAX_VALUE,
    )

    private val random = Random(1)
    private val client = AgentClient(entryLoops.trafficGroup, entryLoops.trafficTimers)
    private val claims = ClaimClient(entryLoops.trafficGroup)
    private val router = Router(RoutingSettings("dc1"), { LinkCost.LOCAL }, random::nextInt)
    val metrics = EntryMetrics(PrometheusRegistry())
    private val services = EntryServices(
        Incarnation("entry-1"),
        entryLoops.trafficTimers,
        client,
        router,
        entryTracing,
        metrics,
    ) { snapshot }
    private val handler = EntryHandler(services, claims)
    private val server = CallerServer(handler::begin, limits, null)
    val port: Int = server.start(Address(HOST, 0), entryLoops.trafficGroup)

    init {
        entryLoops.traffic.submit { router.setRoutes(agents.map { it.route }) }.get()
    }

    /** Number of requests in progress at the entry. */
    val inProgress: Int get() = entryLoops.traffic.submit<Int> { handler.limits.totalInFlight }.get()

    /** Number of attempts running on the backend server of agent [index]. */
    fun running(index: Int): Int = agentLoops.traffic.submit<Int> { agents[index].attemptManager.running }.get()

    /** Sets the time-out of the requests of [service] from now on; returns the earlier one. */
    fun setTimeout(service: String, timeoutMs: Long): Long {
        val configuration = snapshot.configuration
        val current = configuration.services.getValue(service)
        val services = configuration.services.put(service, current.copy(timeoutMs = timeoutMs))
        snapshot = snapshot.copy(configuration = configuration.copy(services = services))
        return current.timeoutMs
    }

    override fun close() {
        server.closeListener()
        client.close()
        claims.close()
        agents.forEach { it.close() }
        entryLoops.close()
        agentLoops.close()
    }

    private fun service(name: String, kind: ServiceKind, timeoutMs: Long) = Service(
        name = name,
        kind = kind,
        model = name,
        version = "v1",
        adapters = persistentListOf("spice"),
        accounts = persistentSetOf("shop"),
        timeoutMs = timeoutMs,
    )
}

/** An agent and its service registration in the test bed. */
internal class TestBedAgent(service: String, name: String, backendPort: Int, loops: EventLoops, tracing: Tracing) :
    AutoCloseable {
    private val incarnation = Incarnation("run-of-$name")
    private val address = Address(HOST, backendPort)
    private val http = HttpClient(address, loops.trafficGroup)
    val attemptManager = AttemptManager(
        incarnation,
        loops.trafficTimers,
        tracing,
        AgentMetrics(PrometheusRegistry()),
        if (service == "m") {
            EngineRunner(OpenAiEngine(address, http::call, loops.trafficTimers)::execute)::run
        } else {
            PlainRunner(address, http::call)::run
        },
    )
    private val server: Server =
        buildServer(
            Address(HOST, 0),
            loops.trafficGroup,
            listOf(
                AgentService(incarnation, attemptManager) { _, _ ->
                }.bindService(),
            ),
        )
            .start()
    val route = Route(
        service = service,
        replica = null,
        fencingNumber = FencingNumber(0),
        instance = InstanceName(name),
        incarnation = incarnation,
        address = "$HOST:${server.port}",
        region = "r1",
        dataCentre = "dc1",
        version = "v1",
        adapters = persistentListOf("spice"),
        slots = SLOTS,
    )

    init {
        loops.traffic.submit {
            attemptManager.start()
            attemptManager.setSlots(SLOTS)
            attemptManager.setGate(ServingGate.Plain(Long.MAX_VALUE))
        }.get()
    }

    override fun close() {
        server.shutdownNow()
        http.close()
    }

    private companion object {
        const val SLOTS = 8
    }
}

/** Waits until [condition] holds, for at most [timeoutMs]; returns the elapsed time in milliseconds. */
internal fun awaitTrue(timeoutMs: Long, expectation: String, condition: () -> Boolean): Long {
    val start = System.nanoTime()
    while (!condition()) {
        val elapsedMs = (System.nanoTime() - start) / 1_000_000
        check(elapsedMs < timeoutMs) { "$expectation did not happen within $timeoutMs ms" }
        Thread.onSpinWait()
        Thread.sleep(1)
    }
    return (System.nanoTime() - start) / 1_000_000
}

/** Text of an HTTP/1.1 request. */
internal fun request(line: String, body: String = "", headers: String = "", key: String = "key"): String =
    "$line HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer $key\r\n$headers" +
        (if (body.isEmpty()) "" else "Content-Length: ${body.toByteArray().size}\r\n") + "\r\n$body"
