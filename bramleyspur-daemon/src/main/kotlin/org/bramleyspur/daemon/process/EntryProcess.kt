package org.bramleyspur.daemon.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.daemon.agent.AgentClient
import org.bramleyspur.daemon.caller.CallerLimits
import org.bramleyspur.daemon.caller.CallerServer
import org.bramleyspur.daemon.caller.request.ClaimClient
import org.bramleyspur.daemon.caller.request.DeploymentSnapshot
import org.bramleyspur.daemon.caller.request.EntryHandler
import org.bramleyspur.daemon.caller.request.EntryMetrics
import org.bramleyspur.daemon.caller.request.EntryServices
import org.bramleyspur.daemon.control.ControlSession
import org.bramleyspur.daemon.control.ControlSessionListener
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.protocol.AccountDemand
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply
import org.bramleyspur.protocol.Hello
import org.bramleyspur.traffic.agent.AgentTiming
import org.bramleyspur.traffic.routing.AccountDemandCount
import org.bramleyspur.traffic.routing.LinkCost
import org.bramleyspur.traffic.routing.Router
import org.bramleyspur.traffic.routing.RoutingSettings
import java.io.File
import java.util.UUID
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** The entry role: accepts callers' requests and runs them on agents. */
class EntryProcess(private val settings: Settings) :
    RoleProcess,
    ControlSessionListener {
    private val incarnation = Incarnation(UUID.randomUUID().toString())
    private val loops = EventLoops()
    private val tracing = settings.tracing("entry")
    private val registry = PrometheusRegistry()
    private val agents = AgentClient(loops.trafficGroup, loops.trafficTimers)
    private val claims = ClaimClient(loops.trafficGroup)

    /** Written by the control thread, read by all. */
    @Volatile
    private var snapshot = DeploymentSnapshot()

    @Volatile
    private var demand: Map<String, AccountDemandCount> = emptyMap()

    private val services = EntryServices(
        incarnation,
        loops.trafficTimers,
        agents,
        newRouter(),
        tracing,
        EntryMetrics(registry),
    ) { snapshot }
    private val handler = EntryHandler(services, claims)
    private val callerServer = CallerServer(handler::begin, CallerLimits(), tls())
    private val session = ControlSession(
        settings[CommonSettings.CONTROL],
        loops.controlGroup,
        loops.controlTimers,
        hello(),
        this,
    )
    private val platform = PlatformServer(::readiness, registry)

    /** Starts the servers and the session with the control leader. */
    fun start() {
        platform.start(settings[CommonSettings.PLATFORM_LISTEN], loops.controlGroup)
        loops.traffic.execute { agents.start() }
        callerServer.start(settings[EntrySettings.CALLER_LISTEN], loops.trafficGroup)
        loops.trafficTimers.every(DEMAND_INTERVAL_MS) { demand = handler.limits.drainDemand() }
        loops.control.execute { session.start() }
        logger.info { "entry ${settings[CommonSettings.INSTANCE]} started as incarnation $incarnation" }
    }

    override fun heartbeat(): Heartbeat.Builder = Heartbeat
        .newBuilder()
        .setBackendHealthy(true)
        .setRunning(handler.limits.totalInFlight)
        .setLeaving(snapshot.stopping)
        .addAllDemands(
            (demand.keys + snapshot.shares.keys).map { demandOf(it, demand[it] ?: AccountDemandCount(0, 0)) },
        )

    override fun onConfiguration(configuration: Configuration) {
        snapshot = snapshot.copy(configuration = configuration)
    }

    override fun onRoutes(routes: RouteTable) {
        snapshot = snapshot.copy(routes = routes)
        val addresses = routes.routes.map { it.address }.toSet()
        loops.traffic.execute {
            services.router.setRoutes(routes.routes)
            agents.closeAllExcept(addresses)
            addresses.forEach { agents.preconnect(it) }
        }
    }

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) {
        val leaseUntilMs =
            if (reply.leaseMs >
                0
            ) {
                maxOf(snapshot.leaseUntilMs, sentAtMs + AgentTiming.shortened(reply.leaseMs.toLong()))
            } else {
                snapshot.leaseUntilMs
            }
        val shares = reply.sharesList.associate { it.account to it.maxConcurrent }
        if (shares != snapshot.shares) logger.info { "shares of limited accounts: $shares" }
        snapshot = snapshot.copy(leaseUntilMs = leaseUntilMs, shares = shares)
        val leader = session.leader
        loops.traffic.execute {
            claims.onLeader(leader)
            handler.limits.setShares(shares.toPersistentMap(), leaseUntilMs)
        }
    }

    override fun beginStop() {
        loops.control.submit {
            snapshot = snapshot.copy(stopping = true)
            session.sendHeartbeat()
        }.get()
        callerServer.beginClose()
    }

    override fun closeListeners() {
        val endsAtMs = loops.controlTimers.nowMs() + settings[CommonSettings.DRAIN_TIMEOUT]
        loops.control.submit { snapshot = snapshot.copy(endsAtMs = endsAtMs) }.get()
        callerServer.closeListener()
    }

    override fun isDrained(): Boolean = callerServer.closed && handler.limits.totalInFlight == 0

    override fun close() {
        session.close()
        agents.close()
        claims.close()
        platform.close()
        loops.close()
        tracing.close(TRACE_FLUSH_TIMEOUT_MS)
    }

    private fun newRouter(): Router {
        val random = RandomGenerator.getDefault()
        val local = settings[CommonSettings.DATA_CENTRE]
        val remoteCost = LinkCost(
            settings[EntrySettings.REMOTE_ROUND_TRIP].toDouble(),
            settings[EntrySettings.REMOTE_PENALTY].toDouble(),
        )
        return Router(RoutingSettings(local), { if (it == local) LinkCost.LOCAL else remoteCost }, random::nextInt)
    }

    private fun readiness(): Readiness {
        val current = snapshot
        return when {
            current.stopping -> Readiness(false, "stopping")
            loops.controlTimers.nowMs() >= current.leaseUntilMs -> Readiness(false, "the configuration lease has ended")
            current.configuration.revision.value == 0L -> Readiness(false, "no configuration")
            else -> Readiness(true, "ready")
        }
    }

    private fun demandOf(account: String, count: AccountDemandCount): AccountDemand = AccountDemand
        .newBuilder()
        .setAccount(account)
        .setInFlight(count.inFlight)
        .setRefused(count.refused)
        .setShare(heldShare(account))
        .build()

    /** An entry whose lease has ended holds no share; reporting zero releases its share to other entries. */
    private fun heldShare(account: String): Int {
        val current = snapshot
        return if (loops.controlTimers.nowMs() < current.leaseUntilMs) current.shares[account] ?: 0 else 0
    }

    private fun tls(): SslContext? {
        val certificate = settings[EntrySettings.TLS_CERTIFICATE]
        if (certificate.isEmpty()) return null
        return SslContextBuilder.forServer(File(certificate), File(settings[EntrySettings.TLS_KEY])).build()
    }

    private fun hello(): Hello = Hello
        .newBuilder()
        .setRole(Hello.Role.ENTRY)
        .setInstance(settings[CommonSettings.INSTANCE])
        .setIncarnation(incarnation.value)
        .setAddress(settings[EntrySettings.CALLER_LISTEN].toString())
        .setRegion(settings[CommonSettings.REGION])
        .setDataCentre(settings[CommonSettings.DATA_CENTRE])
        .build()

    private companion object {
        const val DEMAND_INTERVAL_MS = 500L
        const val TRACE_FLUSH_TIMEOUT_MS = 1_000L
    }
}
