/*
 * Many sessions with the control leader in one process: a simulation of entries that announce themselves, send
 * heartbeats and acknowledge configurations, and do nothing else.
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

/** [count] simulated entries with sessions to the leader, which they look for among [addresses]. */
internal class SimulatedSubscribers(private val addresses: List<Address>, count: Int) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val subscribers = List(count) { Subscriber("sim-$it") }

    @Volatile
    private var closed = false

    init {
        subscribers.forEach { subscriber ->
            loop.execute { subscriber.open(addresses.first()) }
            loop.scheduleAtFixedRate({ subscriber.beat() }, 1, 1, TimeUnit.SECONDS)
        }
    }

    /** Returns how many hold the configuration of [revision] or a later one. */
    fun holding(revision: Long): Int = subscribers.count { it.revision >= revision }

    override fun close() {
        closed = true
        subscribers.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private inner class Subscriber(private val name: String) {
        private val channels = addresses.associateWith { openChannel(it, group) }
        private var link: Link? = null
        private var position = 0

        @Volatile
        var revision = 0L

        fun open(address: Address) {
            val hello = Hello.newBuilder().setInstance(name).setIncarnation(name).setAddress("127.0.0.1:$name")
                .setDataCentre("dc1").setRevision(revision)
            link = Link(this, channels.getValue(address)).also { it.start(hello) }
        }

        fun beat() = link?.beat()

        fun ended(ended: Link, leader: Address?) {
            if (closed || link !== ended) return
            link = null
            position = (position + 1) % addresses.size
            val next = leader?.takeIf { it in channels } ?: addresses[position]
            loop.schedule({ open(next) }, RETRY_MS, TimeUnit.MILLISECONDS)
        }

        fun close() = channels.values.forEach { it.shutdownNow() }
    }

    private class Link(private val owner: Subscriber, private val channel: ManagedChannel) :
        StreamObserver<SessionDown> {
        private var up: StreamObserver<SessionUp>? = null
        private var sequence = 0L
        private var leader: Address? = null

        fun start(hello: Hello.Builder) {
            channel.reconnectNow()
            up = ControlServiceGrpc.newStub(channel).session(this)
            up?.onNext(SessionUp.newBuilder().setHello(hello).build())
            beat()
        }

        fun beat() {
            sequence += 1
            val heartbeat = Heartbeat.newBuilder().setSequence(sequence).setRevision(owner.revision)
            up?.onNext(SessionUp.newBuilder().setHeartbeat(heartbeat).build())
        }

        override fun onNext(message: SessionDown) {
            if (message.hasNotLeader()) leader = Address.parse(message.notLeader.leader).component1()
            if (!message.hasConfiguration()) return
            owner.revision = maxOf(owner.revision, message.configuration.revision)
            beat()
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() = end()

        private fun end() {
            up = null
            owner.ended(this, leader)
        }
    }

    private companion object {
        const val RETRY_MS = 100L
    }
}
