package org.bramleyspur.daemon.controlplane

import com.google.protobuf.ByteString
import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.daemon.caller.awaitTrue
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.http.Sender
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a client of control that sends without end, and control that keeps what it sent or the answers. */
class EndlessCallTest {
    private class Case(val name: String, val start: String, val next: String)

    private val calls = AtomicInteger()
    private val failures = CopyOnWriteArrayList<Throwable>()
    private val content = ByteString.copyFrom(ByteArray(CONTENT_BYTES))
    private val group = NioEventLoopGroup(1)
    private val port = freePort()
    private val server = ControlPlaneServer({ _, _, _ -> ControlPlaneCall.Read }, { failures += it }) { _, respond ->
        calls.incrementAndGet()
        respond(ControlPlaneResponse.Content(content))
    }.also { it.start(Address("127.0.0.1", port), group) }

    @AfterEach
    fun close() {
        server.close()
        expectThat(failures).isEmpty()
        group.shutdownGracefully()
    }

    private val post = "POST / HTTP/1.1\r\nHost: h\r\n"
    private val chunked = "${post}Transfer-Encoding: chunked\r\n\r\n"
    private val cases = listOf(
        Case("a request line", "GET /", "a"),
        Case("header fields", post, "X-Field: value\r\n"),
        Case("a header field", "${post}X-Field: ", "a"),
        Case("a chunk extension", "${chunked}1;", "a"),
        Case("trailers", "${chunked}0\r\n", "X-Field: value\r\n"),
        Case("chunks", chunked, "4\r\nabcd\r\n"),
        Case("a body that is too long", "${post}Content-Length: 1000000000000\r\n\r\n", "a"),
    )

    @TestFactory
    fun `the connection is closed and no call is executed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            calls.set(0)
            Sender(port, case.start, case.next).use { sender ->
                awaitTrue(CLOSE_LIMIT_MS, "the end of the connection") { sender.closedByServer }
            }
            expectThat(calls.get()).isEqualTo(0)
        }
    }

    @Test
    fun `calls without end whose answers are not read are not executed`() {
        Sender(port, "", "GET / HTTP/1.1\r\nHost: h\r\n\r\n").use {
            Thread.sleep(SEND_PERIOD_MS)
            expectThat(calls.get()).isLessThan(MAX_UNREAD_ANSWERS)
        }
    }

    @Test
    fun `calls that were sent together are answered in order`() {
        RawClient(port).use { client ->
            client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(SENT_TOGETHER))
            repeat(SENT_TOGETHER) { expectThat(client.read()?.body?.length).isEqualTo(CONTENT_BYTES) }
        }
        expectThat(calls.get()).isEqualTo(SENT_TOGETHER)
    }

    private companion object {
        const val CONTENT_BYTES = 1024 * 1024
        const val SENT_TOGETHER = 20
        const val CLOSE_LIMIT_MS = 5_000L
        const val SEND_PERIOD_MS = 1_000L

        /** What the buffers of two sockets and of the connection hold. */
        const val MAX_UNREAD_ANSWERS = 20
    }
}
