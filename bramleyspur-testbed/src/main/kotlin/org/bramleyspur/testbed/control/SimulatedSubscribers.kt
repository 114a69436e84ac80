/*
 * Simulates many entries in one process. Each has a session with the control leader, in which it announces itself,
 * sends heartbeats and acknowledges configurations.
 */
package org.bramleyspur.testbed.control

import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.daemon.process.reconnectNow
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.Hello
import org.bramleyspur.protocol.SessionDown
import org.bramleyspur.protocol.SessionUp
import java.util.concurrent.TimeUnit

/** [count] simulated entries with sessions to the leader, which they find among [addresses]. */
internal class SimulatedSubscribers(private val addresses: List<Address>, count: Int) : AutoCloseable {
    private val eventLoops = NioEventLoopGroup(1)
    private val eventLoop = eventLoops.next()
    private val subscribers = List(count) { Subscriber("sim-$it") }

    @Volatile
    private var closed = false

    init {
        subscribers.forEach { subscriber ->
            eventLoop.execute { subscriber.open(addresses.first()) }
            eventLoop.scheduleAtFixedRate({ subscriber.sendHeartbeat() }, 1, 1, TimeUnit.SECONDS)
        }
    }

    /** Returns the number of subscribers that hold the configuration of [revision] or a later one. */
    fun countAtRevision(revision: Long): Int = subscribers.count { it.revision >= revision }

    override fun close() {
        closed = true
        subscribers.forEach { it.close() }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private inner class Subscriber(private val name: String) {
        private val channels = addresses.associateWith { openChannel(it, eventLoops) }
        private var session: Session? = null
        private var addressIndex = 0

        @Volatile
        var revision = 0L

        fun open(address: Address) {
            val hello = Hello.newBuilder().setInstance(name).setIncarnation(name).setAddress("127.0.0.1:$name")
                .setDataCentre("dc1").setRevision(revision)
            session = Session(this, channels.getValue(address)).also { it.start(hello) }
        }

        fun sendHeartbeat() = session?.sendHeartbeat()

        fun onSessionEnd(ended: Session, leader: Address?) {
            if (closed || session !== ended) return
            session = null
            addressIndex = (addressIndex + 1) % addresses.size
            val next = leader?.takeIf { it in channels } ?: addresses[addressIndex]
            eventLoop.schedule({ open(next) }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
        }

        fun close() = channels.values.forEach { it.shutdownNow() }
    }

    private class Session(private val subscriber: Subscriber, private val channel: ManagedChannel) :
        StreamObserver<SessionDown> {
        private var requests: StreamObserver<SessionUp>? = null
        private var sequence = 0L
        private var leader: Address? = null

        fun start(hello: Hello.Builder) {
            channel.reconnectNow()
            requests = ControlServiceGrpc.newStub(channel).session(this)
            requests?.onNext(SessionUp.newBuilder().setHello(hello).build())
            sendHeartbeat()
        }

        fun sendHeartbeat() {
            sequence += 1
            val heartbeat = Heartbeat.newBuilder().setSequence(sequence).setRevision(subscriber.revision)
            requests?.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        }

        override fun onNext(message: SessionDown) {
            if (message.hasNotLeader()) leader = Address.parse(message.notLeader.leader).component1()
            if (!message.hasConfiguration()) return
            subscriber.revision = maxOf(subscriber.revision, message.configuration.revision)
            sendHeartbeat()
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() = end()

        private fun end() {
            requests = null
            subscriber.onSessionEnd(this, leader)
        }
    }

    private companion object {
        const val RETRY_DELAY_MS = 100L
    }
}
