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

/** Guards against plain calls that are cut, changed, sent twice, or held in memory as a whole. */
class PlainServiceTest {
    private fun withBackends(vararg backends: FakeBackend, block: (TrafficBed) -> Unit) {
        TrafficBed(plains = backends.map { it.port }).use(block)
        backends.forEach { it.close() }
    }

    private fun call(bed: TrafficBed, bytes: String, method: String = "GET"): RawAnswer =
        RawClient(bed.port).use { client ->
            client.send(bytes)
            client.read(method)!!
        }

    private class Form(
        val name: String,
        val line: String,
        val status: Int,
        val body: String,
        val answer: FakeCall.() -> Unit,
    )

    private val forms = listOf(
        Form("no content", "DELETE /p/x", 204, "") { write("HTTP/1.1 204 No Content\r\n\r\n") },
        Form("not modified", "GET /p/x", 304, "") { write("HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n") },
        Form("head", "HEAD /p/x", 200, "") { write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") },
        Form("head with length", "HEAD /p/x", 200, "") { write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n") },
        Form("trailers", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n")
        },
        Form("body until the end", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 200 OK\r\n\r\nabc")
            close()
        },
        Form("early hints", "GET /p/x", 200, "abc") {
            write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            reply(200, "abc")
        },
        Form("client error", "GET /p/x", 418, "tea") { reply(418, "tea") },
        Form("server error", "POST /p/x", 500, "broken") { reply(500, "broken") },
        Form("redirect", "GET /p/x", 302, "there") { reply(302, "there", "Location: /y\r\n") },
    )

    @TestFactory
    fun `answers are passed on unchanged`() = forms.map { form ->
        DynamicTest.dynamicTest(form.name) {
            withBackends(FakeBackend { form.answer(this) }) { bed ->
                val method = form.line.substringBefore(' ')
                RawClient(bed.port).use { client ->
                    client.send(request(form.line) + request(form.line))
                    repeat(2) {
                        val answer = client.read(method)!!
                        expectThat(answer.status).isEqualTo(form.status)
                        expectThat(answer.body).isEqualTo(form.body)
                        expectThat(answer.whole).isTrue()
                        if (method == "HEAD" || answer.status in setOf(204, 304)) {
                            expectThat(answer.header("transfer-encoding")).isEqualTo("")
                        }
                    }
                }
            }
        }
    }

    private class Fault(val name: String, val line: String, val outcome: String, val answer: FakeCall.() -> Unit)

    private val faults = listOf(
        Fault("closes after the request", "POST /p/x", "may_have_run") { close() },
        Fault("closes inside the head", "POST /p/x", "may_have_run") {
            write("HTTP/1.1 200 O")
            close()
        },
        Fault("answers no HTTP", "POST /p/x", "may_have_run") {
            write("nonsense\r\n\r\n")
            awaitDisconnect()
        },
        Fault("sends a large head", "POST /p/x", "may_have_run") {
            write("HTTP/1.1 200 OK\r\nX: ${"a".repeat(20_000)}\r\n\r\n")
            awaitDisconnect()
        },
    )

    @TestFactory
    fun `a call that must not be repeated is not sent again`() = faults.map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            val backends = List(2) { FakeBackend { fault.answer(this) } }
            withBackends(*backends.toTypedArray()) { bed ->
                val answer = call(bed, request(fault.line))
                expectThat(answer.header("bramleyspur-outcome")).isEqualTo(fault.outcome)
                expectThat(backends.sumOf { it.heads.size }).isEqualTo(1)
            }
        }
    }

    @TestFactory
    fun `an idempotent call is tried elsewhere`() = faults.map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            val first = java.util.concurrent.atomic.AtomicBoolean(true)
            val answer: FakeCall.() -> Unit = { if (first.getAndSet(false)) fault.answer(this) else reply(200, "ok") }
            withBackends(FakeBackend(answer), FakeBackend(answer)) { bed ->
                expectThat(call(bed, request("GET /p/x")).body).isEqualTo("ok")
            }
        }
    }

    private val cuts = listOf(
        "length" to "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "chunks" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "chunk that is malformed" to "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n",
    )

    @TestFactory
    fun `a cut answer is not passed on as whole`() = cuts.map { (name, bytes) ->
        DynamicTest.dynamicTest(name) {
            val backend = FakeBackend {
                write(bytes)
                close()
            }
            withBackends(backend) { bed -> expectThat(call(bed, request("GET /p/x")).whole).isFalse() }
        }
    }

    @Test
    fun `a refused connection has begun nothing and the call is tried elsewhere`() {
        val closed = ServerSocket(0).use { it.localPort }
        val backend = FakeBackend { reply(200, "ok") }
        TrafficBed(plains = listOf(closed, backend.port)).use { bed ->
            repeat(6) { expectThat(call(bed, request("POST /p/x", "a")).body).isEqualTo("ok") }
        }
        TrafficBed(plains = listOf(closed)).use { bed ->
            val answer = call(bed, request("POST /p/x", "a"))
            expectThat(answer.status).isEqualTo(503)
            expectThat(answer.header("bramleyspur-outcome")).isEqualTo("not_run")
        }
        backend.close()
    }

    @Test
    fun `idempotent calls share a connection and others open their own`() {
        val backend = FakeBackend {
            readBody()
            reply(200, "ok")
        }
        withBackends(backend) { bed ->
            repeat(5) { call(bed, request("GET /p/x")) }
            expectThat(backend.connections).isEqualTo(1)
            repeat(2) { call(bed, request("POST /p/x", "a")) }
            expectThat(backend.connections).isEqualTo(3)
        }
    }

    @Test
    fun `a request without a body has none at the backend server`() {
        val backend = FakeBackend { reply(200, "ok") }
        withBackends(backend) { bed ->
            call(bed, request("GET /p/x"))
            expectThat(headerOf(backend.heads[0], "transfer-encoding")).isEqualTo("")
        }
    }

    @Test
    fun `a stale pooled connection does not fail an idempotent call`() {
        val backend = FakeBackend {
            if (path == "/again" && seen() == 2) close() else reply(200, "ok")
        }
        withBackends(backend) { bed ->
            call(bed, request("GET /p/x"))
            expectThat(call(bed, request("GET /p/again")).status).isEqualTo(200)
            expectThat(backend.heads.size).isEqualTo(3)
        }
    }

    @Test
    fun `a large answer passes a slow reader in bounded memory`() {
        val written = AtomicLong()
        val part = ByteArray(65_536)
        val backend = FakeBackend {
            write("HTTP/1.1 200 OK\r\nContent-Length: $LARGE\r\n\r\n")
            repeat((LARGE / part.size).toInt()) {
                write(part)
                written.addAndGet(part.size.toLong())
            }
        }
        withBackends(backend) { bed ->
            RawClient(bed.port).use { client ->
                var most = 0L
                var read = 0L
                client.send(request("GET /p/x"))
                val answer = client.read { length ->
                    read += length
                    most = maxOf(most, written.get() - read)
                }!!
                expectThat(answer.whole).isTrue()
                expectThat(read).isEqualTo(LARGE)
                expectThat(most).isLessThan(BUFFERED)
            }
        }
    }

    @Test
    fun `a large body waits for a slow backend server in bounded memory`() {
        val go = CountDownLatch(1)
        val backend = FakeBackend {
            go.await(10, TimeUnit.SECONDS)
            readBody()
            reply(200, "$LARGE")
        }
        withBackends(backend) { bed ->
            RawClient(bed.port).use { client ->
                val sent = AtomicLong()
                val writer = thread {
                    client.send(request("PUT /p/x", headers = "Content-Length: $LARGE\r\n"))
                    val part = ByteArray(65_536)
                    repeat((LARGE / part.size).toInt()) {
                        client.send(part)
                        sent.addAndGet(part.size.toLong())
                    }
                }
                writer.join(500)
                expectThat(sent.get()).isLessThan(BUFFERED)
                go.countDown()
                expectThat(client.read()!!.status).isEqualTo(200)
                expectThat(backend.bodyBytes.get()).isEqualTo(LARGE)
                writer.join()
            }
        }
    }

    @Test
    fun `the slot of an upload that its backend server does not read is free within 250 ms after the deadline`() {
        val backend = FakeBackend { CountDownLatch(1).await(5, TimeUnit.SECONDS) }
        TrafficBed(plains = listOf(backend.port), timeoutMs = 700).use { bed ->
            RawClient(bed.port).use { client ->
                val writer = thread {
                    try {
                        client.send(request("PUT /p/x", headers = "Content-Length: $LARGE\r\n"))
                        repeat(2_000) { client.send(ByteArray(65_536)) }
                    } catch (_: IOException) {
                        return@thread
                    }
                }
                awaitTrue(1_000, "the begin of the call") { bed.running(0) == 1 }
                awaitTrue(3_000, "the deadline") { bed.inProgress == 0 }
                val tookMs = awaitTrue(3_000, "the release of the slot") { bed.running(0) == 0 }
                expectThat(tookMs).isLessThan(250)
                client.close()
                writer.join()
            }
        }
        backend.close()
    }

    /** Guards against a slot that stays taken for a caller that has left while its upload is paused. */
    @Test
    fun slotOfPausedUploadIsFreeAfterReset() {
        val backend = FakeBackend { CountDownLatch(1).await(5, TimeUnit.SECONDS) }
        TrafficBed(plains = listOf(backend.port), timeoutMs = 10_000).use { bed ->
            val client = RawClient(bed.port)
            val writer = thread {
                try {
                    client.send(request("PUT /p/x", headers = "Content-Length: $LARGE\r\n"))
                    repeat(2_000) { client.send(ByteArray(65_536)) }
                } catch (_: IOException) {
                    return@thread
                }
            }
            awaitTrue(1_000, "the begin of the call") { bed.running(0) == 1 }
            writer.join(300)
            client.close()
            val tookMs = awaitTrue(3_000, "the release of the slot") { bed.running(0) == 0 }
            expectThat(tookMs).isLessThan(250)
            writer.join()
        }
        backend.close()
    }

    private companion object {
        const val LARGE = 1600L * 65_536

        /** Socket buffers of the connections hold some megabytes; the rest would be the processes' own. */
        const val BUFFERED = 24L * 1024 * 1024
    }
}
