package org.bramleyspur.daemon.caller

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against requests of connections that were just accepted, which a planned stop cuts off without an answer. */
class CallerStopTest {
    private val request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde"

    /** [sent] has arrived, read or not, when the listener closes; [rest] follows. */
    private class Case(val name: String, val sent: String, val rest: String)

    private val cases = listOf(
        Case("nothing sent yet", "", request),
        Case("a part of the head", request.take(30), request.drop(30)),
        Case("a part of the body", request.dropLast(2), request.takeLast(2)),
        Case("the whole request", request, ""),
    )

    @TestFactory
    fun `a request of a connection that was just accepted is answered`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val group = NioEventLoopGroup(1)
            val server = CallerServer({ _, exchange -> Responder(exchange) }, CallerLimits(), null)
            val port = server.start(Address("127.0.0.1", 0), group)
            val blocked = CountDownLatch(1)
            // While the thread is busy, the connections wait to be accepted.
            val closed = group.next().submit {
                blocked.await()
                server.beginClose()
                server.closeListener()
            }
            val clients = List(CONNECTIONS) { RawClient(port).apply { send(case.sent) } }
            blocked.countDown()
            closed.get()
            clients.forEach { if (case.rest.isNotEmpty()) it.send(case.rest) }
            expectThat(clients.map { it.read()?.status }).all { isEqualTo(200) }
            clients.forEach { it.close() }
            awaitTrue(CLOSE_LIMIT_MS, "the close of idle connections") { server.closed }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }

    /** Guards against a late thread that closes connections as idle before it has read their requests. */
    @Test
    fun `requests that a late thread has accepted but not read are answered`() {
        val group = NioEventLoopGroup(1)
        val server = CallerServer({ _, exchange -> Responder(exchange) }, CallerLimits(), null)
        val port = server.start(Address("127.0.0.1", 0), group)
        val blocked = CountDownLatch(1)
        group.next().submit {
            blocked.await()
            server.beginClose()
            server.closeListener()
        }
        val late = group.next().submit { Thread.sleep(LATE_MS) }
        val clients = List(LATE_CONNECTIONS) { RawClient(port).apply { send(request) } }
        blocked.countDown()
        late.get()
        expectThat(clients.map { client -> runCatching { client.read()?.status }.getOrNull() }).all { isEqualTo(200) }
        clients.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private class Responder(private val exchange: CallerExchange) : CallerListener {
        override fun onBody(data: io.netty.buffer.ByteBuf) = Unit

        override fun onBodyEnd() = exchange.respond(200, emptyList(), ByteArray(0))

        override fun onCallerDisconnected() = Unit
    }

    private companion object {
        const val CONNECTIONS = 40

        const val LATE_CONNECTIONS = 4

        /** Longer than all delays of a planned stop. */
        const val LATE_MS = 500L
        const val CLOSE_LIMIT_MS = 5_000L
    }
}
