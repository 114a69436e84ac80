package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Guards against plain calls that are truncated, changed, sent twice, or buffered completely in memory. */
class PlainServiceTest {
    private fun withBackends(vararg backends: FakeBackend, block: (TrafficTestBed) -> Unit) {
        TrafficTestBed(plains = backends.map { it.port }).use(block)
        backends.forEach { it.close() }
    }

    private fun call(testBed: TrafficTestBed, bytes: String, method: String = "GET"): RawResponse =
        RawClient(testBed.port).use { client ->
            client.send(bytes)
            client.read(method)!!
        }

    private class ForwardingCase(
        val name: String,
        val line: String,
        val status: Int,
        val body: String,
        val respond: FakeCall.() -> Unit,
    )

    private val forwardingCases = listOf(
        ForwardingCase("no content", "DELETE /p/x", 204, "") { write("HTTP/1.1 204 No Content\r\n\r\n") },
        ForwardingCase("not modified", "GET /p/x", 304, "") { write("HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n") },
        ForwardingCase("head", "HEAD /p/x", 200, "") { write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") },
        ForwardingCase("head with length", "HEAD /p/x", 200, "") {
            write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        },
        ForwardingCase("trailers", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n")
        },
        ForwardingCase("body until the end", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 200 OK\r\n\r\nabc")
            close()
        },
        ForwardingCase("early hints", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            reply(200, "abc")
        },
        ForwardingCase("client error", "GET /p/x", 418, "tea") { reply(418, "tea") },
        ForwardingCase("server error", "POST /p/x", 500, "broken") { reply(500, "broken") },
        ForwardingCase("redirect", "GET /p/x", 302, "there") { reply(302, "there", "Location: /y\r\n") },
    )

    /** Guards against a response that broke off right after its head and reached the caller as complete. */
    @TestFactory
    fun `a response that ends with its head is not complete`() = listOf("", "Connection: close\r\n").map { header ->
        DynamicTest.dynamicTest("header '${header.trim()}'") {
            val backend = FakeBackend {
                write("HTTP/1.1 200 OK\r\n$header\r\n")
                close()
            }
            withBackends(backend) { testBed ->
                val response = RawClient(testBed.port).use { client ->
                    client.send(request("GET /p/x"))
                    client.read()
                }
                expectThat(response?.status == 200 && response.complete).isFalse()
            }
        }
    }

    @TestFactory
    fun `responses are forwarded unchanged`() = forwardingCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            withBackends(FakeBackend { case.respond(this) }) { testBed ->
                val method = case.line.substringBefore(' ')
                RawClient(testBed.port).use { client ->
                    client.send(request(case.line) + request(case.line))
                    repeat(2) {
                        val response = client.read(method)!!
                        expectThat(response.status).isEqualTo(case.status)
                        expectThat(response.body).isEqualTo(case.body)
                        expectThat(response.complete).isTrue()
                        if (method == "HEAD" || response.status in setOf(204, 304)) {
                            expectThat(response.header("transfer-encoding")).isEqualTo("")
                        }
                    }
                }
            }
        }
    }

    private class Fault(val name: String, val line: String, val outcome: String, val respond: FakeCall.() -> Unit)

    private val faults = listOf(
        Fault("closes after the request", "POST /p/x", "may_have_run") { close() },
        Fault("closes inside the head", "POST /p/x", "may_have_run") {
            write("HTTP/1.1 200 O")
            close()
        },
        Fault("sends no HTTP", "POST /p/x", "may_have_run") {
            write("nonsense\r\n\r\n")
            awaitDisconnect()
        },
        Fault("sends a large head", "POST /p/x", "may_have_run") {
            write("HTTP/1.1 200 OK\r\nX: ${"a".repeat(20_000)}\r\n\r\n")
            awaitDisconnect()
        },
    )

    @TestFactory
    fun `a non-idempotent call is not retried`() = faults.map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            val backends = List(2) { FakeBackend { fault.respond(this) } }
            withBackends(*backends.toTypedArray()) { testBed ->
                val response = call(testBed, request(fault.line))
                expectThat(response.header("bramleyspur-outcome")).isEqualTo(fault.outcome)
                expectThat(backends.sumOf { it.requestHeads.size }).isEqualTo(1)
            }
        }
    }

    @TestFactory
    fun `an idempotent call is retried on another backend server`() = faults.map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            val isFirst = java.util.concurrent.atomic.AtomicBoolean(true)
            val respond: FakeCall.() -> Unit = {
                if (isFirst.getAndSet(false)) fault.respond(this) else reply(200, "ok")
            }
            withBackends(FakeBackend(respond = respond), FakeBackend(respond = respond)) { testBed ->
                expectThat(call(testBed, request("GET /p/x")).body).isEqualTo("ok")
            }
        }
    }

    private val truncatedResponses = listOf(
        "length" to "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "chunk that is malformed" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n",
    )

    @TestFactory
    fun `a truncated response is not forwarded as complete`() = truncatedResponses.map { (name, bytes) ->
        DynamicTest.dynamicTest(name) {
            val backend = FakeBackend {
                write(bytes)
                close()
            }
            withBackends(backend) { testBed -> expectThat(call(testBed, request("GET /p/x")).complete).isFalse() }
        }
    }

    /** Guards against a response without a length that is cut by a reset while the request is still being sent. */
    @Test
    fun `a response that is reset during the upload is not forwarded as complete`() {
        val backend = FakeBackend(receiveBufferBytes = 64 * 1024) {
            write("HTTP/1.1 200 OK\r\n\r\nabc")
            Thread.sleep(300)
            reset()
        }
        withBackends(backend) { testBed ->
            RawClient(testBed.port).use { client ->
                val writer = thread { runCatching { client.send(request("POST /p/x", "u".repeat(8_000_000))) } }
                val response = runCatching { client.read() }.getOrNull()
                expectThat(response?.status == 200 && response.complete).isFalse()
                writer.join()
            }
        }
    }

    @Test
    fun `a call with a refused connection has not begun and is retried on another backend server`() {
        val closedPort = ServerSocket(0).use { it.localPort }
        val backend = FakeBackend { reply(200, "ok") }
        TrafficTestBed(plains = listOf(closedPort, backend.port)).use { testBed ->
            repeat(6) { expectThat(call(testBed, request("POST /p/x", "a")).body).isEqualTo("ok") }
        }
        TrafficTestBed(plains = listOf(closedPort)).use { testBed ->
            val response = call(testBed, request("POST /p/x", "a"))
            expectThat(response.status).isEqualTo(503)
            expectThat(response.header("bramleyspur-outcome")).isEqualTo("not_run")
        }
        backend.close()
    }

    @Test
    fun `idempotent calls reuse a connection and other calls open a new one`() {
        val backend = FakeBackend {
            readBody()
            reply(200, "ok")
        }
        withBackends(backend) { testBed ->
            repeat(5) { call(testBed, request("GET /p/x")) }
            expectThat(backend.connections).isEqualTo(1)
            repeat(2) { call(testBed, request("POST /p/x", "a")) }
            expectThat(backend.connections).isEqualTo(3)
        }
    }

    @Test
    fun `a request without a body has none at the backend server`() {
        val backend = FakeBackend { reply(200, "ok") }
        withBackends(backend) { testBed ->
            call(testBed, request("GET /p/x"))
            expectThat(headerOf(backend.requestHeads[0], "transfer-encoding")).isEqualTo("")
        }
    }

    @Test
    fun `a stale pooled connection does not fail an idempotent call`() {
        val backend = FakeBackend {
            if (path == "/again" && requestCount() == 2) close() else reply(200, "ok")
        }
        withBackends(backend) { testBed ->
            call(testBed, request("GET /p/x"))
            expectThat(call(testBed, request("GET /p/again")).status).isEqualTo(200)
            expectThat(backend.requestHeads.size).isEqualTo(3)
        }
    }

    @Test
    fun `a large response to a slow reader uses bounded memory`() {
        val writtenBytes = AtomicLong()
        val part = ByteArray(65_536)
        val backend = FakeBackend {
            write("HTTP/1.1 200 OK\r\nContent-Length: $LARGE_BODY_BYTES\r\n\r\n")
            repeat((LARGE_BODY_BYTES / part.size).toInt()) {
                write(part)
                writtenBytes.addAndGet(part.size.toLong())
            }
        }
        withBackends(backend) { testBed ->
            RawClient(testBed.port).use { client ->
                var maxUnreadBytes = 0L
                var readBytes = 0L
                client.send(request("GET /p/x"))
                val response = client.read { length ->
                    readBytes += length
                    maxUnreadBytes = maxOf(maxUnreadBytes, writtenBytes.get() - readBytes)
                }!!
                expectThat(response.complete).isTrue()
                expectThat(readBytes).isEqualTo(LARGE_BODY_BYTES)
                expectThat(maxUnreadBytes).isLessThan(MAX_BUFFERED_BYTES)
            }
        }
    }

    @Test
    fun `a large request body to a slow backend server uses bounded memory`() {
        val startReading = CountDownLatch(1)
        val backend = FakeBackend {
            startReading.await(10, TimeUnit.SECONDS)
            readBody()
            reply(200, "$LARGE_BODY_BYTES")
        }
        withBackends(backend) { testBed ->
            RawClient(testBed.port).use { client ->
                val sentBytes = AtomicLong()
                val writer = thread {
                    client.send(request("PUT /p/x", headers = "Content-Length: $LARGE_BODY_BYTES\r\n"))
                    val part = ByteArray(65_536)
                    repeat((LARGE_BODY_BYTES / part.size).toInt()) {
                        client.send(part)
                        sentBytes.addAndGet(part.size.toLong())
                    }
                }
                writer.join(500)
                expectThat(sentBytes.get()).isLessThan(MAX_BUFFERED_BYTES)
                startReading.countDown()
                expectThat(client.read()!!.status).isEqualTo(200)
                expectThat(backend.bodyBytesRead.get()).isEqualTo(LARGE_BODY_BYTES)
                writer.join()
            }
        }
    }

    @Test
    fun `the slot of an upload that the backend server does not read is free within 250 ms after the deadline`() {
        val backend = FakeBackend { CountDownLatch(1).await(5, TimeUnit.SECONDS) }
        TrafficTestBed(plains = listOf(backend.port), timeoutMs = 700).use { testBed ->
            RawClient(testBed.port).use { client ->
                val writer = thread {
                    try {
                        client.send(request("PUT /p/x", headers = "Content-Length: $LARGE_BODY_BYTES\r\n"))
                        repeat(2_000) { client.send(ByteArray(65_536)) }
                    } catch (_: IOException) {
                        return@thread
                    }
                }
                awaitTrue(1_000, "the start of the call") { testBed.running(0) == 1 }
                awaitTrue(3_000, "the deadline") { testBed.inProgress == 0 }
                val elapsedMs = awaitTrue(3_000, "the release of the slot") { testBed.running(0) == 0 }
                expectThat(elapsedMs).isLessThan(250)
                client.close()
                writer.join()
            }
        }
        backend.close()
    }

    /** Guards against a slot that is not released when the caller resets its connection while its upload is paused. */
    @Test
    fun slotOfPausedUploadIsFreeAfterReset() = checkSlotOfPausedUpload { reset() }

    /** Guards against a slot that is not released when the caller closes its connection while its upload is paused. */
    @Test
    fun slotOfPausedUploadIsFreeAfterClose() = checkSlotOfPausedUpload { close() }

    private fun checkSlotOfPausedUpload(disconnect: RawClient.() -> Unit) {
        val backend = FakeBackend { CountDownLatch(1).await(5, TimeUnit.SECONDS) }
        TrafficTestBed(plains = listOf(backend.port), timeoutMs = 10_000).use { testBed ->
            val client = RawClient(testBed.port)
            val sentBytes = AtomicLong()
            val writer = thread {
                try {
                    client.send(request("PUT /p/x", headers = "Content-Length: $LARGE_BODY_BYTES\r\n"))
                    repeat(2_000) {
                        client.send(ByteArray(65_536))
                        sentBytes.addAndGet(65_536)
                    }
                } catch (_: IOException) {
                    return@thread
                }
            }
            awaitTrue(1_000, "the start of the call") { testBed.running(0) == 1 }
            var earlierBytes = -1L
            awaitTrue(3_000, "the pause of the upload") {
                writer.join(300)
                sentBytes.get().let { sent -> (sent == earlierBytes).also { earlierBytes = sent } }
            }
            client.disconnect()
            val elapsedMs = awaitTrue(3_000, "the release of the slot") { testBed.running(0) == 0 }
            expectThat(elapsedMs).isLessThan(250)
            writer.join()
        }
        backend.close()
    }

    /** Guards against a slot that is not released when a caller disconnects after it has pipelined many requests. */
    @Test
    fun slotOfPipelinedRequestsIsFreeAfterReset() {
        val backend = FakeBackend { CountDownLatch(1).await(5, TimeUnit.SECONDS) }
        TrafficTestBed(plains = listOf(backend.port)).use { testBed ->
            val client = RawClient(testBed.port)
            client.send(request("GET /p/x").repeat(100))
            awaitTrue(1_000, "the start of the call") { testBed.running(0) == 1 }
            client.reset()
            val elapsedMs = awaitTrue(3_000, "the release of the slot") { testBed.running(0) == 0 }
            expectThat(elapsedMs).isLessThan(250)
        }
        backend.close()
    }

    private companion object {
        const val LARGE_BODY_BYTES = 1600L * 65_536

        /** Socket buffers hold a few megabytes; more would mean that the processes buffer the body themselves. */
        const val MAX_BUFFERED_BYTES = 24L * 1024 * 1024
    }
}
