/*
 * The entry role of a deployment whose backend servers announce themselves: forwards callers' requests over HTTP
 * straight to the backend servers. All state belongs to the traffic thread.
 */
package org.bramleyspur.daemon.process

import com.github.michaelbull.result.getOrElse
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.document.DocumentDecoder
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.wire.toMessages
import org.bramleyspur.core.wire.toModel
import org.bramleyspur.daemon.directory.DirectoryClient
import org.bramleyspur.daemon.forward.BackendLoads
import org.bramleyspur.daemon.forward.ForwardContext
import org.bramleyspur.daemon.forward.ForwardHeaders
import org.bramleyspur.daemon.forward.ForwardMetrics
import org.bramleyspur.daemon.forward.FrontServer
import org.bramleyspur.daemon.platform.PlatformServer
import org.bramleyspur.daemon.platform.Readiness
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.SecondSendBudget
import java.util.random.RandomGenerator

/**
 * Settings of an announced entry.
 *
 * @property front address for callers
 * @property ready address of the load balancer's question and of `/metrics`
 * @property readyPath path of the load balancer's question
 * @property seeds `host:port` at which entries reach the control instances
 * @property secondSendRatio second sends that all entries may make for each request
 * @property secondSendSlack second sends that all entries may make in a window beside these
 * @property secondSendWindowMs length of the window in milliseconds
 * @property stopMs time in milliseconds from SIGTERM to the end of the process
 */
data class AnnouncedEntrySettings(
    val instance: String,
    val dataCentre: String,
    val front: Address,
    val ready: Address,
    val readyPath: String,
    val metrics: Address?,
    val seeds: List<String>,
    val secondSendRatio: Double,
    val secondSendSlack: Double,
    val secondSendWindowMs: Long,
    val stopMs: Long,
)

/** What an adapter supplies to an entry. */
class EntryDialect(val headers: ForwardHeaders, val decodeDocument: DocumentDecoder)

/** One announced entry. */
class AnnouncedEntry(
    private val settings: AnnouncedEntrySettings,
    private val dialect: EntryDialect,
    private val log: DecisionLog,
) : RoleProcess {
    private val loops = Loops()
    private val timers = loops.trafficTimers
    private val registry = PrometheusRegistry()
    private var entries = 0
    private val loads = BackendLoads(loops.trafficGroup, timers, dialect.headers)
    private val context = ForwardContext(
        timers,
        dialect.headers,
        loads,
        log,
        ForwardMetrics(registry),
        settings.dataCentre,
        RandomGenerator.getDefault(),
        onSilent = { onSilent() },
    ) {
        SecondSendBudget(settings.secondSendRatio, settings.secondSendSlack, settings.secondSendWindowMs) { entries }
    }
    private val front = FrontServer(loops.trafficGroup, context)
    private val platform = PlatformServer(::readiness, registry, settings.readyPath)
    private val watches =
        DirectoryClient(loops.trafficGroup, timers, settings.seeds, null, ::report, ::onEvent)

    /** Tells the control instances at once what an attempt has shown. */
    private fun onSilent() = watches.tick()
    private val startedMs = timers.nowMs()
    private var confirmed = false

    @Volatile
    private var stopping = false

    @Volatile
    private var usable = false

    /** Starts to serve. */
    fun start() {
        platform.start(settings.ready, loops.trafficGroup)
        settings.metrics?.let { platform.start(it, loops.trafficGroup) }
        loops.traffic.submit {
            watches.start()
            timers.every(EXPIRE_MS) { expire() }
            timers.every(QUIET_CHECK_MS) { reportQuiet() }
        }.get()
        front.start(settings.front)
        log.write("started", "role" to "entry", "instance" to settings.instance)
    }

    /** Tells the control instances of backend servers whose streams have stopped, before a request gives them up. */
    private fun reportQuiet() {
        val quiet = loads.noteQuiet()
        quiet.forEach {
            log.write(
                "backend-quiet",
                "id" to it.id,
                "quiet_ms" to timers.nowMs() - it.answeredMs,
                "streams" to it.writing,
                "pace" to it.pace,
            )
        }
        if (quiet.isNotEmpty()) onSilent()
    }

    /** Uses other seeds from now on. */
    fun useSeeds(seeds: List<String>) = loops.traffic.execute { watches.useSeeds(seeds) }

    private fun report(first: Boolean): DirectoryRequest {
        updateUsable()
        val report = DirectoryRequest.newBuilder()
        if (first) report.addAllAnnouncements(context.directory.toMessages(timers.nowMs()))
        return report
            .setInstance(settings.instance)
            .setEntry(true)
            .addAllAnsweringBackends(loads.answering(ANSWERS_MS))
            .addAllSilentBackends(loads.silent(EVIDENCE_MS))
            .build()
    }

    /**
     * An entry that has just started may first hear of a document that is not the newest: it takes requests once the
     * leader has spoken, or when the others have been heard for some time.
     */
    private fun updateUsable() {
        if (usable || context.routes == null) return
        if (confirmed || timers.nowMs() - startedMs > UNCONFIRMED_MS) {
            usable = true
            log.write("ready", "config" to context.routes?.version, "confirmed" to confirmed)
        }
    }

    private fun onEvent(address: String, event: DirectoryEvent) {
        val now = timers.nowMs()
        entries = maxOf(event.entries, 1)
        for (message in event.announcementsList) {
            val announcement = message.toModel()
            val before = context.directory.backends[announcement.id]?.announcement
            context.directory = context.directory.withAnnouncement(announcement, now - message.ageMs)
            if (before?.state != announcement.state || before.groupMembership != announcement.groupMembership) {
                log.write(
                    "backend",
                    "id" to announcement.id,
                    "state" to announcement.state.name,
                    "group" to announcement.groupMembership?.let { "${it.id.name}/${it.rank}/${it.state}" }.orEmpty(),
                    "from" to address,
                    "age_ms" to message.ageMs,
                )
            }
        }
        if (event.hasDocument()) takeDocument(event, address)
        if (event.confirmed) {
            confirmed = true
            updateUsable()
        }
    }

    private fun takeDocument(event: DirectoryEvent, address: String) {
        val version = event.document.version
        val current = context.routes?.version
        if (current != null && current >= version) return
        val document = dialect.decodeDocument(event.document.content.toByteArray()).getOrElse {
            log.write("document-unreadable", "version" to version, "from" to address, "reason" to it.message)
            return
        }
        context.routes = RouteTable(document)
        log.write("document-in-force", "version" to version, "before" to current, "from" to address)
    }

    private fun expire() {
        context.directory = context.directory.expire(timers.nowMs())
        loads.keepOnly(context.directory.backends.filter { it.value.announcement.state != BackendState.GONE }.keys)
    }

    private fun readiness(): Readiness = when {
        stopping -> Readiness(false, "stopping")
        !usable -> Readiness(false, "the configuration is not known yet")
        else -> Readiness(true, "ready")
    }

    override fun beginStop() {
        stopping = true
        loops.traffic.execute { front.beginStop() }
    }

    override fun closeListeners() = loops.traffic.submit { front.closeIdle() }.get().let { }

    override fun isDrained(): Boolean = loops.traffic.submit<Int> { front.running }.get() == 0

    override fun close() {
        platform.close()
        loops.close()
    }

    private companion object {
        const val EXPIRE_MS = 2_000L

        /** A step of a slow batch takes about this long. */
        const val QUIET_CHECK_MS = 50L

        /** Covers the interval of reports; a longer one would tell of answers that ended before. */
        const val ANSWERS_MS = 300L

        /** Covers two reports, so that one lost report loses no evidence. */
        const val EVIDENCE_MS = 600L

        /** An election takes about a second; the followers' document is then the newest that can be had. */
        const val UNCONFIRMED_MS = 2_500L
    }
}
