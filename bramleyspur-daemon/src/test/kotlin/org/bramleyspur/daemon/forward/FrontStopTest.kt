package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.caller.RawClient
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against requests that a planned stop cuts off without an answer. */
class FrontStopTest : ForwardTest() {
    private fun request(headers: String = "") =
        "POST /once/1 HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 2000\r\nAuthorization: Bearer key\r\n" +
            "${headers}Content-Length: 0\r\n\r\n"

    @Test
    fun `a connection whose response ends after the start of a planned stop is closed`() {
        GatedBackend(okResponse("hello").dropLast(2), "lo").use { backend ->
            apply(document, listOf(announcement(0, backend.address)))
            RawClient(port).use { client ->
                client.send(request())
                backend.startGate.countDown()
                client.readUntil("hel")
                loops.traffic.submit {
                    front.beginStop(STOP_MS)
                    front.closeIdle()
                }.get()
                backend.endGate.countDown()
                client.readUntil("lo")
                expectThat(client.isAtEnd()).isTrue()
                expectThat(loops.traffic.submit<Int> { front.runningRequests }.get()).isEqualTo(0)
            }
        }
    }

    @Test
    fun `a request that still runs when the process ends is answered`() {
        GatedBackend(okResponse("hello"), "").use { backend ->
            apply(document, listOf(announcement(0, backend.address)))
            RawClient(port).use { client ->
                client.send(request())
                backend.received.await(1, TimeUnit.SECONDS)
                loops.traffic.submit { front.endRunning() }.get()
                expectThat(client.read()?.status).isEqualTo(502)
            }
        }
    }

    /** A caller's connection on a network that takes no data until [release] is called. */
    private class SlowNetwork : ChannelOutboundHandlerAdapter() {
        private val writes = ArrayDeque<() -> Unit>()

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            writes += { context.writeAndFlush(message, promise) }
        }

        fun release() = writes.forEach { it() }
    }

    private fun onSlowNetwork(test: (FrontServer, EmbeddedChannel, SlowNetwork) -> Unit) {
        startBackends(listOf(Script(okResponse("hello"))))
        val server = FrontServer(loops.trafficGroup, context)
        val network = SlowNetwork()
        val channel = EmbeddedChannel(network)
        val connection = FrontConnection(server, context, channel)
        channel.pipeline().addLast(connection.byteObserver, HttpServerCodec(), connection)
        connection.channelActive(channel.pipeline().context(connection))
        test(server, channel, network)
    }

    private fun bytes(text: String) = Unpooled.copiedBuffer(text, Charsets.UTF_8)

    @Test
    fun `a response that the network has not taken is not cut off`() = onSlowNetwork { server, channel, network ->
        channel.writeInbound(bytes(request().replace("/once/", "/nowhere/")))
        server.closeIdle()
        expectThat(channel.isOpen).isTrue()
        expectThat(server.runningRequests).isEqualTo(1)
        network.release()
        channel.runPendingTasks()
        expectThat(channel.isOpen).isFalse()
    }

    @Test
    fun `a request behind a response that closes the connection is not passed on`() =
        onSlowNetwork { server, channel, network ->
            val closing = request("Connection: close\r\n").replace("/once/", "/nowhere/")
            channel.writeInbound(bytes(closing + request()))
            channel.runPendingTasks()
            Thread.sleep(PASS_ON_MS)
            expectThat(backends.last().requests.size).isEqualTo(0)
            network.release()
            channel.runPendingTasks()
            expectThat(channel.isOpen).isFalse()
            expectThat(server.runningRequests).isEqualTo(0)
        }

    /** Guards against a request that is cut off because the end of its head has not arrived. */
    @Test
    fun `a request whose head is being read is answered`() = onSlowNetwork { server, channel, network ->
        val request = request().replace("/once/", "/nowhere/")
        channel.writeInbound(bytes(request.take(30)))
        server.closeIdle()
        expectThat(channel.isOpen).isTrue()
        expectThat(server.drained).isFalse()
        channel.writeInbound(bytes(request.drop(30)))
        network.release()
        channel.runPendingTasks()
        expectThat(channel.readOutbound<ByteBuf>()?.toString(Charsets.UTF_8).orEmpty()).startsWith("HTTP/1.1 404 ")
        expectThat(server.drained).isTrue()
    }

    /** Guards against a late thread that closes connections as idle before it has read their requests. */
    @Test
    fun `requests that a late thread has accepted but not read are answered`() {
        startBackends(listOf(Script(okResponse("hello"))))
        val server = FrontServer(loops.trafficGroup, context)
        val port = server.start(Address("127.0.0.1", 0))
        val blocked = CountDownLatch(1)
        loops.traffic.submit {
            blocked.await()
            server.beginStop(STOP_MS)
            server.closeListener()
        }
        val late = loops.traffic.submit { Thread.sleep(LATE_MS) }
        val clients = List(LATE_CONNECTIONS) { RawClient(port).apply { send(request()) } }
        blocked.countDown()
        late.get()
        expectThat(clients.map { client -> runCatching { client.read()?.status }.getOrNull() }).all { isEqualTo(200) }
        clients.forEach { it.close() }
    }

    /** Guards against requests that arrive while the thread handles others and are cut off before it reads them. */
    @Test
    fun `a request that arrives while the thread handles another one is answered`() {
        startBackends(listOf(Script(okResponse("hello"))))
        val server = FrontServer(loops.trafficGroup, context)
        val port = server.start(Address("127.0.0.1", 0))
        val (first, second) = List(2) { RawClient(port) }
        loops.traffic.submit {
            server.beginStop(STOP_MS)
            server.closeListener()
        }.get()
        val handled = CountDownLatch(1)
        onLogLine = { handled.await() }
        first.send(request().replace("/once/", "/nowhere/"))
        Thread.sleep(PASS_ON_MS / 2)
        second.send(request())
        Thread.sleep(LATE_MS)
        onLogLine = {}
        handled.countDown()
        val statuses = listOf(first, second).map { client -> runCatching { client.read()?.status }.getOrNull() }
        expectThat(statuses).isEqualTo(listOf(404, 200))
        listOf(first, second).forEach { it.close() }
    }

    private class LateCase(val name: String, val remainingMs: Long, val status: Int, val sentToBackend: Int)

    private val lateCases = listOf(
        LateCase("a request that ends before the process", remainingMs = 1_000, status = 200, sentToBackend = 1),
        LateCase("a request that could outlast the process", remainingMs = 2_500, status = 503, sentToBackend = 0),
    )

    @TestFactory
    fun `a request late in a planned stop is passed on only if it ends in time`() = lateCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            startBackends(listOf(Script(okResponse("hello"))))
            val server = FrontServer(loops.trafficGroup, context)
            RawClient(server.start(Address("127.0.0.1", 0))).use { client ->
                loops.traffic.submit {
                    server.beginStop(LATE_STOP_MS)
                    server.closeListener()
                }.get()
                client.send(request().replace("X-Left: 2000", "X-Left: ${case.remainingMs}"))
                val answer = client.read()
                expectThat(answer?.status).isEqualTo(case.status)
                expectThat(answer?.header("connection")).isEqualTo("close")
                expectThat(backends.last().requests.size).isEqualTo(case.sentToBackend)
            }
        }
    }

    /** [sent] has arrived, read or not, when the listener closes; [rest] follows. */
    private class AcceptedCase(val name: String, val sent: String, val rest: String)

    private val acceptedCases = listOf(
        AcceptedCase("nothing sent yet", "", request()),
        AcceptedCase("a part of the head", request().take(30), request().drop(30)),
        AcceptedCase("the whole request", request(), ""),
        AcceptedCase("a part of the body", withBody("12"), "3456"),
    )

    private fun withBody(part: String) = request().replace("Content-Length: 0", "Content-Length: 6") + part

    @TestFactory
    fun `a request of a connection that was just accepted is answered`() = acceptedCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            startBackends(listOf(Script(okResponse("hello"))))
            val server = FrontServer(loops.trafficGroup, context)
            val port = server.start(Address("127.0.0.1", 0))
            // The time limits of the requests and the idle time pass only when the requests have been sent.
            timers.hold(fromMs = IDLE_MS)
            val blocked = CountDownLatch(1)
            // While the thread is busy, the connections wait to be accepted.
            val closed = loops.traffic.submit {
                blocked.await()
                server.beginStop(STOP_MS)
                server.closeListener()
            }
            val clients = List(CONNECTIONS) { RawClient(port).apply { send(case.sent) } }
            blocked.countDown()
            closed.get()
            clients.forEach { if (case.rest.isNotEmpty()) it.send(case.rest) }
            loops.traffic.schedule({ timers.advance(IDLE_MS) }, LISTENER_CLOSED_MS, TimeUnit.MILLISECONDS).get()
            expectThat(clients.map { it.read()?.status }).all { isEqualTo(200) }
            clients.forEach { it.close() }
        }
    }

    private companion object {
        const val STOP_MS = 10_000L
        const val LATE_STOP_MS = 2_000L
        const val CONNECTIONS = 40

        /** The time after which a planned stop closes idle connections. */
        const val IDLE_MS = 250L

        /** Longer than a planned stop keeps the listener open. */
        const val LISTENER_CLOSED_MS = 50L
        const val LATE_CONNECTIONS = 4

        /** Longer than all delays of a planned stop. */
        const val LATE_MS = 500L

        /** Many times what a request takes to a backend server on loopback. */
        const val PASS_ON_MS = 200L
    }
}
