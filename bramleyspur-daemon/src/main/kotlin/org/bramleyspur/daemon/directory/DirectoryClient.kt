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
 * Watches all control instances, beginning with [seeds] (`host:port`) and following the members that they name. All
 * functions and callbacks run on the one thread of [group].
 *
 * @property self `host:port` of a control instance that watches the others; null for an entry
 * @property report what to tell the control instances; the first message on a stream carries all that is known
 */
class DirectoryClient(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    seeds: List<String>,
    private val self: String?,
    private val report: (first: Boolean) -> DirectoryRequest,
    private val onEvent: (address: String, DirectoryEvent) -> Unit,
) {
    private val watches = LinkedHashMap<String, Watch>()
    private var seedAddresses = seeds.toSet()

    /** `host:port` of the control instances that are watched. */
    val addresses: Set<String> get() = watches.keys

    /** Starts to watch. */
    fun start() {
        follow(emptyList())
        timers.every(REPORT_MS) { tick() }
    }

    /** Uses other seeds from now on, when the settings have changed. */
    fun useSeeds(seeds: List<String>) {
        seedAddresses = seeds.toSet()
        follow(emptyList())
    }

    private fun follow(members: List<String>) {
        val wanted = (members + seedAddresses).filter { it != self }
        wanted.filter { it !in watches }.forEach { watches[it] = Watch(it) }
        if (members.isEmpty()) return
        val dropped = watches.filter { (address, watch) ->
            address !in wanted && timers.nowMs() - watch.heardMs > FORGET_MS
        }
        dropped.forEach { (address, watch) ->
            watches -= address
            watch.close()
        }
    }

    /** Reports at once. */
    fun tick() {
        val request = report(false)
        watches.values.toList().forEach { it.tick(request) }
    }

    private inner class Watch(private val address: String) {
        var heardMs = timers.nowMs()
            private set
        private var openedMs = 0L
        private var channel: ManagedChannel? = null
        private var up: StreamObserver<DirectoryRequest>? = null

        fun tick(request: DirectoryRequest) {
            val now = timers.nowMs()
            if (channel != null && now - maxOf(heardMs, openedMs) > SILENT_MS) {
                logger.info { "control instance $address is silent for ${now - heardMs} ms; connecting anew" }
                close()
            }
            if (channel == null) {
                open()
                up?.onNext(report(true))
            } else {
                up?.onNext(request)
            }
        }

        private fun open() {
            val target = Address.parse(address).component1() ?: return
            openedMs = timers.nowMs()
            val opened = openChannel(target, group)
            channel = opened
            up = DirectoryServiceGrpc.newStub(opened).watch(Events(opened))
        }

        fun close() {
            channel?.shutdownNow()
            channel = null
            up = null
        }

        private inner class Events(private val opened: ManagedChannel) : StreamObserver<DirectoryEvent> {
            override fun onNext(event: DirectoryEvent) {
                if (channel !== opened) return
                heardMs = timers.nowMs()
                onEvent(address, event)
                follow(event.membersList)
            }

            override fun onError(cause: Throwable) {
                if (channel !== opened) return
                logger.debug { "watch of $address ended: ${cause.message}" }
                close()
            }

            override fun onCompleted() {
                if (channel === opened) close()
            }
        }
    }

    private companion object {
        const val REPORT_MS = 250L

        /** Four regular events are missing. */
        const val SILENT_MS = 1_300L

        /** A former member that answers nothing for this long is watched no more. */
        const val FORGET_MS = 10_000L
    }
}
