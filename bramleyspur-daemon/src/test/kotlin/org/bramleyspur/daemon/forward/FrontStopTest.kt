package org.bramleyspur.daemon.forward

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.bramleyspur.daemon.caller.RawClient
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
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
                    front.beginStop()
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

    private companion object {
        /** Many times what a request takes to a backend server on loopback. */
        const val PASS_ON_MS = 200L
    }
}
