package org.bramleyspur.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.RepeatedTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isSuccess
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Guards against a response that is taken for the one of a later call, and against a close that fails. */
class HttpClientTest {
    private val loops = EventLoops()

    @AfterEach
    fun closeLoops() = loops.close()

    private fun response(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

    /** Collects a response; [onResponse] gets its body, or null after a failure, on the event loop. */
    private class Reader(private val onResponse: (String?) -> Unit) : HttpListener {
        private val body = StringBuilder()

        override fun onHead(status: Int, headers: HttpHeaders) = Unit

        override fun onData(data: ByteBuf) {
            body.append(data.toString(Charsets.UTF_8))
        }

        override fun onEnd() = onResponse(body.toString())

        override fun onFailure(failure: HttpFailure, message: String) = onResponse(null)
    }

    private fun HttpClient.get(path: String, onResponse: (String?) -> Unit): HttpCall = call(
        DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path),
        Unpooled.EMPTY_BUFFER,
        false,
        Reader(onResponse),
    )

    private fun HttpClient.getAndWait(path: String): String? {
        val result = CompletableFuture<String?>()
        loops.traffic.execute { get(path, result::complete) }
        return result.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private class Case(val name: String, val first: String, val whileIdle: String = "", val atNextCall: String = "")

    private val stray = response("stray")

    private val cases = listOf(
        Case("in the packet of the response", response("1") + stray),
        Case("half of it in the packet of the response", response("1") + stray.take(20), atNextCall = stray.drop(20)),
        Case("while the connection is idle", response("1"), whileIdle = stray),
    )

    /** Guards against an extra response that the next call on the connection takes for its own. */
    @TestFactory
    fun `an extra response closes its connection`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val idle = CountDownLatch(1)
            val sent = CountDownLatch(1)
            lateinit var server: FakeBackend
            server = FakeBackend {
                if (path == "/1") {
                    write(case.first)
                    idle.await(WAIT_SECONDS, TimeUnit.SECONDS)
                    write(case.whileIdle)
                    sent.countDown()
                } else {
                    if (server.connections == 1) write(case.atNextCall)
                    write(response("2"))
                }
            }
            HttpClient(Address("127.0.0.1", server.port), loops.trafficGroup).use { client ->
                expectThat(client.getAndWait("/1")).isEqualTo("1")
                idle.countDown()
                sent.await(WAIT_SECONDS, TimeUnit.SECONDS)
                // The thread reads what has arrived before it runs a timer that is due.
                loops.traffic.schedule({}, 1, TimeUnit.MILLISECONDS).get()
                expectThat(client.getAndWait("/2")).isEqualTo("2")
                expectThat(server.connections).isEqualTo(2)
            }
            server.close()
        }
    }

    /** Guards against an extra response that reaches a call that is made as soon as the response before it ends. */
    @Test
    fun `an extra response does not reach a call made by the listener`() {
        val server = FakeBackend { write(if (path == "/1") response("1") + stray else response("2")) }
        val second = CompletableFuture<String?>()
        HttpClient(Address("127.0.0.1", server.port), loops.trafficGroup).use { client ->
            loops.traffic.execute { client.get("/1") { client.get("/2", second::complete) } }
            expectThat(second.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("2")
        }
        server.close()
    }

    /** Guards against a call that timed out and whose late response the next call takes for its own. */
    @Test
    fun `a cancelled call never returns its connection`() {
        val answersLate = CountDownLatch(1)
        val server = FakeBackend {
            if (path == "/1") answersLate.await(WAIT_SECONDS, TimeUnit.SECONDS)
            write(response(path))
        }
        HttpClient(Address("127.0.0.1", server.port), loops.trafficGroup).use { client ->
            expectThat(client.getAndWait("/0")).isEqualTo("/0")
            val late = CompletableFuture<String?>()
            val call = loops.traffic.submit<HttpCall> { client.get("/1", late::complete) }.get()
            Thread.sleep(PAUSE_MS / 2)
            loops.traffic.submit { call.cancel() }.get()
            expectThat(client.getAndWait("/2")).isEqualTo("/2")
            answersLate.countDown()
            Thread.sleep(2 * PAUSE_MS)
            expectThat(client.getAndWait("/3")).isEqualTo("/3")
            expectThat(late.isDone).isEqualTo(false)
            expectThat(server.connections).isEqualTo(2)
        }
        server.close()
    }

    /** Guards against a failure of the close while calls return their connections, which kept a process from ending. */
    @RepeatedTest(ROUNDS)
    fun `a client can be closed on any thread`() {
        val server = FakeBackend { write(response("x")) }
        val client = HttpClient(Address("127.0.0.1", server.port), loops.trafficGroup)
        val begun = CountDownLatch(CALLS)
        val stopped = AtomicBoolean()

        fun callAgain() {
            client.get("/") {
                begun.countDown()
                if (!stopped.get()) callAgain()
            }
        }
        loops.traffic.execute { repeat(CALLS) { callAgain() } }
        begun.await(WAIT_SECONDS, TimeUnit.SECONDS)
        val closed = runCatching { client.close() }
        stopped.set(true)
        expectCatching { closed.getOrThrow() }.isSuccess()
        server.close()
    }

    /**
     * Guards against a cancelled request that still reaches its server, when the network that held it up delivers it
     * later: a reset drops what was not delivered, a close sends it first.
     */
    @Test
    fun `a cancelled call resets its connection`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val client = HttpClient(Address("127.0.0.1", server.localPort), loops.trafficGroup)
            val call = loops.traffic.submit<HttpCall> { client.get("/") {} }.get()
            server.accept().use { socket ->
                socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                loops.traffic.submit { call.cancel() }.get()
                expectCatching { socket.getInputStream().read() }.isFailure().isA<SocketException>()
            }
        }
    }

    /** Guards against a response without a length that counts as complete since this process closes its connection. */
    @Test
    fun `a response without a length is not complete when the event loop ends`() {
        val server = FakeBackend {
            write("HTTP/1.1 200 OK\r\n\r\npart")
            awaitDisconnect()
        }
        val client = HttpClient(Address("127.0.0.1", server.port), loops.trafficGroup)
        val body = CompletableFuture<String?>()
        loops.traffic.execute { client.get("/", body::complete) }
        Thread.sleep(PAUSE_MS)
        loops.close()
        expectThat(body.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(null)
        server.close()
    }

    /** Guards against a response that a crash cuts during the upload, if the peer had read all that had arrived. */
    @Test
    fun `a success whose connection is reset after its end is not complete`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val client = HttpClient(Address("127.0.0.1", server.localPort), loops.trafficGroup)
            val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/")
            request.headers().setInt("Content-Length", 2 * REQUEST_BYTES)
            val part = "a".repeat(REQUEST_BYTES - 1) + END_OF_PART
            val body = CompletableFuture<String?>()
            val call = loops.traffic.submit<HttpCall> { client.call(request, null, true, Reader(body::complete)) }.get()
            server.accept().use { socket ->
                loops.traffic.submit { call.send(Unpooled.wrappedBuffer(part.toByteArray()), last = false) }.get()
                while (socket.getInputStream().read() != END_OF_PART.code) Unit
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".toByteArray())
            }
            loops.traffic.submit { call.send(Unpooled.wrappedBuffer(part.toByteArray()), last = true) }.get()
            expectThat(body.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(null)
        }
    }

    private companion object {
        const val END_OF_PART = 'z'
        const val PAUSE_MS = 100L
        const val REQUEST_BYTES = 1_024
        const val WAIT_SECONDS = 5L
        const val ROUNDS = 30
        const val CALLS = 30
    }
}
