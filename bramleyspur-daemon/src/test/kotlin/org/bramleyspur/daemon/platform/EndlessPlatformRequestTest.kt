package org.bramleyspur.daemon.platform

import io.netty.channel.nio.NioEventLoopGroup
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.caller.awaitTrue
import org.bramleyspur.daemon.http.Sender
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a client of the platform endpoints that sends without end, and answers that are kept for it. */
class EndlessPlatformRequestTest {
    private val answers = AtomicInteger()
    private val group = NioEventLoopGroup(1)
    private val readiness = {
        answers.incrementAndGet()
        Readiness(true, "a".repeat(LARGE_ANSWER))
    }
    private val server = PlatformServer(readiness, PrometheusRegistry())
    private val port = server.start(Address("127.0.0.1", 0), group)

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private val post = "POST /readyz HTTP/1.1\r\nHost: h\r\n"

    @TestFactory
    fun `the connection is closed`() = listOf(
        Triple("a request line", "GET /", "a"),
        Triple("header fields", post, "X-Field: value\r\n"),
        Triple("trailers", "${post}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"),
        Triple("chunks", "${post}Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        Triple("a body that is too long", "${post}Content-Length: 1000000000000\r\n\r\n", "a"),
    ).map { (name, start, next) ->
        DynamicTest.dynamicTest(name) {
            Sender(port, start, next).use { sender ->
                awaitTrue(CLOSE_LIMIT_MS, "the end of the connection") { sender.closedByServer }
            }
        }
    }

    @Test
    fun `one request of a connection is answered`() {
        Sender(port, "", "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n").use {
            Thread.sleep(SEND_PERIOD_MS)
            expectThat(answers.get()).isEqualTo(1)
        }
    }

    private companion object {
        const val CLOSE_LIMIT_MS = 5_000L
        const val SEND_PERIOD_MS = 1_000L

        /** More than the buffers of two sockets hold. */
        const val LARGE_ANSWER = 16 * 1024 * 1024
    }
}
