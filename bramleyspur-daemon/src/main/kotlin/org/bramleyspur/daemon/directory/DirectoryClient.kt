package org.bramleyspur.daemon.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc

private val logger = KotlinLogging.logger {}

/**
 * Watches all control instances: the seeds (`host:port`) and the members that these report. All functions and callbacks
 * run on the single thread of [group].
 *
 * @property self `host:port` of a control instance that watches the others; null for an entry
 * @property report builds a message to the control instances; the first one on a stream carries everything known
 * @property forLeader adds to a report what only the leader is told
 */
class DirectoryClient(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    seeds: List<String>,
    private val self: String?,
    private val report: (first: Boolean) -> DirectoryRequest,
    private val forLeader: (DirectoryRequest) -> DirectoryRequest = { it },
    private val onEvent: (address: String, DirectoryEvent) -> Unit,
) {
    private val watches = LinkedHashMap<String, Watch>()
    private var seedAddresses = seeds.toSet()

    /** `host:port` of the watched control instances. */
    val addresses: Set<String> get() = watches.keys

    /** Opens the watches and starts the periodic reports. */
    fun start() {
        updateWatches(emptyList())
        timers.every(REPORT_INTERVAL_MS) { sendReports() }
    }

    /** Replaces the seeds after a change of the settings. */
    fun replaceSeeds(seeds: List<String>) {
        seedAddresses = seeds.toSet()
        updateWatches(emptyList())
    }

    private fun updateWatches(members: List<String>) {
        val wanted = (members + seedAddresses).filter { it != self }
        wanted.filter { it !in watches }.forEach { watches[it] = Watch(it) }
        if (members.isEmpty()) return
        val formerMembers = watches.filter { (address, watch) ->
            address !in wanted && timers.nowMs() - watch.lastReceivedMs > FORMER_MEMBER_TIMEOUT_MS
        }
        formerMembers.forEach { (address, watch) ->
            watches -= address
            watch.close()
        }
    }

    /** Sends a report to all control instances at once, and reopens connections to unresponsive ones. */
    fun sendReports() {
        val request = report(false)
        watches.values.toList().forEach { it.sendReport(request) }
    }

    /** Asks the control instance at [address], with the next report, for the announcements of [ids]. */
    fun requestMissing(address: String, ids: List<String>) {
        watches[address]?.missing?.addAll(ids)
    }

    private inner class Watch(private val address: String) {
        /** Backend servers whose announcements are to be requested. */
        val missing = LinkedHashSet<String>()
        var lastReceivedMs = timers.nowMs()
            private set
        private var openedAtMs = 0L

        /** Whether the last event came from an instance that leads. */
        private var leads = false
        private var channel: ManagedChannel? = null
        private var requestStream: StreamObserver<DirectoryRequest>? = null

        fun sendReport(common: DirectoryRequest) {
            val request = if (leads) forLeader(common) else common
            val now = timers.nowMs()
            if (channel != null && now - maxOf(lastReceivedMs, openedAtMs) > UNRESPONSIVE_LIMIT_MS) {
                logger.info { "no event from control instance $address for ${now - lastReceivedMs} ms; reconnecting" }
                close()
            }
            if (channel == null) {
                missing.clear()
                open()
                requestStream?.onNext(report(true))
            } else if (missing.isEmpty()) {
                requestStream?.onNext(request)
            } else {
                requestStream?.onNext(request.toBuilder().addAllMissingBackends(missing).build())
                missing.clear()
            }
        }

        private fun open() {
            val target = Address.parse(address).component1() ?: return
            openedAtMs = timers.nowMs()
            val ownChannel = openChannel(target, group)
            channel = ownChannel
            requestStream = DirectoryServiceGrpc.newStub(ownChannel).watch(EventObserver(ownChannel))
        }

        fun close() {
            leads = false
            channel?.shutdownNow()
            channel = null
            requestStream = null
        }

        private inner class EventObserver(private val ownChannel: ManagedChannel) : StreamObserver<DirectoryEvent> {
            override fun onNext(event: DirectoryEvent) {
                if (channel !== ownChannel) return
                lastReceivedMs = timers.nowMs()
                leads = event.confirmed
                onEvent(address, event)
                updateWatches(event.membersList)
            }

            override fun onError(cause: Throwable) {
                if (channel !== ownChannel) return
                logger.debug { "watch of $address ended: ${cause.message}" }
                close()
            }

            override fun onCompleted() {
                if (channel === ownChannel) close()
            }
        }
    }

    private companion object {
        const val REPORT_INTERVAL_MS = 250L

        /** Time in which four regular events are missing. */
        const val UNRESPONSIVE_LIMIT_MS = 1_300L

        /** Time without events after which a former member is no longer watched. */
        const val FORMER_MEMBER_TIMEOUT_MS = 10_000L
    }
}
