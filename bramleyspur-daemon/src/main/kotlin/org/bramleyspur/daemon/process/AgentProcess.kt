package org.bramleyspur.daemon.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.settings.Settings
import org.bramleyspur.daemon.agent.ConfirmClient
import org.bramleyspur.daemon.control.ControlSession
import org.bramleyspur.daemon.engine.CacheEventReader
import org.bramleyspur.daemon.engine.EngineRunner
import org.bramleyspur.daemon.engine.OpenAiEngine
import org.bramleyspur.daemon.entry.AgentMetrics
import org.bramleyspur.daemon.entry.AgentService
import org.bramleyspur.daemon.entry.AttemptManager
import org.bramleyspur.daemon.entry.BackendRunner
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.daemon.http.listen
import org.bramleyspur.daemon.plain.PlainRunner
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import org.bramleyspur.protocol.Hello
import org.bramleyspur.protocol.Service
import java.util.UUID

private val logger = KotlinLogging.logger {}

/** The agent role: manages one backend server and forwards requests to it. */
class AgentProcess(private val settings: Settings) : RoleProcess {
    private val instance = InstanceName(settings[CommonSettings.INSTANCE])
    private val incarnation = Incarnation(UUID.randomUUID().toString())
    private val backend = settings[AgentSettings.BACKEND]
    private val isPlain = settings[AgentSettings.BACKEND_KIND] == "plain"
    private val lock = BackendLock.acquire(settings)
    private val loops = EventLoops()
    private val tracing = settings.tracing("agent")
    private val registry = PrometheusRegistry()
    private val trafficHttp = HttpClient(backend, loops.trafficGroup)
    private val controlHttp = HttpClient(backend, loops.controlGroup)
    private val confirmClient = ConfirmClient(loops.controlGroup)
    private val adminEngine = OpenAiEngine(backend, controlHttp::call, loops.controlTimers)
    private val attemptManager =
        AttemptManager(incarnation, loops.trafficTimers, tracing, AgentMetrics(registry), runner())
    private val backendManager: BackendManager = newBackendManager()
    private val session = ControlSession(
        settings[CommonSettings.CONTROL],
        loops.controlGroup,
        loops.controlTimers,
        hello(),
        AgentSessionListener(backendManager),
    )
    private val service = AgentService(incarnation, attemptManager, ::confirm)
    private val server =
        buildServer(settings[CommonSettings.LISTEN], loops.trafficGroup, listOf(service.bindService()))
    private val platform = PlatformServer(::readiness, registry)

    @Volatile
    private var stopping = false

    /** Starts the servers and the session with the control leader. */
    fun start() {
        server.listen(settings[CommonSettings.LISTEN])
        platform.start(settings[CommonSettings.PLATFORM_LISTEN], loops.controlGroup)
        loops.traffic.execute {
            attemptManager.start()
            if (!isPlain) {
                CacheEventReader(
                    backend,
                    trafficHttp::call,
                    loops.trafficTimers,
                    attemptManager.cacheEvents,
                ).start()
            }
        }
        loops.control.execute {
            backendManager.start { session.sendHeartbeat() }
            session.start()
        }
        logger.info { "agent $instance started as incarnation $incarnation for backend server $backend" }
    }

    override fun beginStop() {
        stopping = true
        loops.control.execute { backendManager.stop() }
    }

    override fun closeListeners() = Unit

    override fun isDrained(): Boolean = loops.control.submit<Boolean> { backendManager.isStopped() }.get()

    override fun close() {
        session.close()
        server.shutdownNow()
        confirmClient.close()
        trafficHttp.close()
        controlHttp.close()
        platform.close()
        loops.close()
        tracing.close(TRACE_FLUSH_TIMEOUT_MS)
        lock.close()
    }

    private fun runner(): BackendRunner = if (isPlain) {
        PlainRunner(backend, trafficHttp::call)::run
    } else {
        EngineRunner(OpenAiEngine(backend, trafficHttp::call, loops.trafficTimers)::execute)::run
    }

    private fun newBackendManager(): BackendManager = if (isPlain) {
        PlainBackendManager(loops, attemptManager, adminEngine)
    } else {
        EngineManager(instance, loops, attemptManager, adminEngine, confirmClient)
    }

    private fun readiness(): Readiness = when {
        stopping -> Readiness(false, "stopping")
        session.leader == null -> Readiness(false, "no session with the control leader")
        else -> Readiness(true, "ready")
    }

    private fun confirm(request: ConfirmRequest, respond: (ConfirmReply) -> Unit) {
        loops.control.execute {
            backendManager.onConfirmRequest(request) { reply -> loops.traffic.execute { respond(reply) } }
        }
    }

    private fun hello(): Hello = Hello
        .newBuilder()
        .setRole(Hello.Role.AGENT)
        .setInstance(instance.value)
        .setIncarnation(incarnation.value)
        .setAddress(settings[CommonSettings.LISTEN].toString())
        .setRegion(settings[CommonSettings.REGION])
        .setDataCentre(settings[CommonSettings.DATA_CENTRE])
        .setFabricDomain(settings[AgentSettings.FABRIC_DOMAIN])
        .setBackendKind(if (isPlain) Service.Kind.PLAIN else Service.Kind.MODEL)
        .setPlainService(settings[AgentSettings.SERVICE])
        .setAccelerators(settings[AgentSettings.ACCELERATORS].toInt())
        .setBackendAddress(backend.toString())
        .build()

    private companion object {
        const val TRACE_FLUSH_TIMEOUT_MS = 1_000L
    }
}
