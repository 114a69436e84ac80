package org.bramleyspur.daemon.caller

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Random
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against input bytes that raise an exception in the caller server or leave a connection open forever. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerFuzzTest {
    private val group = NioEventLoopGroup(1)
    private val failures = CopyOnWriteArrayList<Throwable>()
    private val server = CallerServer(::begin, CallerLimits(requestTimeoutMs = 150, idleTimeoutMs = 150), null)
    private val port = server.start(Address(HOST, 0), group)

    @AfterAll
    fun close() {
        server.closeListener()
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS)
    }

    private fun begin(head: CallerHead, exchange: CallerExchange): CallerListener = RecordingListener(head, exchange)

    /** Responds with the size of the body, and records calls in an order that the interface does not allow. */
    private inner class RecordingListener(private val head: CallerHead, private val exchange: CallerExchange) :
        CallerListener {
        private var size = 0
        private var ended = false

        override fun onBody(data: io.netty.buffer.ByteBuf) {
            check("body part after the end of the body")
            size += data.readableBytes()
        }

        override fun onBodyEnd() {
            check("end of the body reported twice")
            ended = true
            exchange.respond(200, emptyList(), "${head.method} $size".toByteArray())
        }

        override fun onCallerDisconnected() {
            check("caller disconnect reported after the response")
            ended = true
        }

        private fun check(violation: String) {
            if (ended) failures += IllegalStateException(violation)
        }
    }

    private fun randomInput(random: Random): ByteArray {
        val base = BASE_REQUESTS[random.nextInt(BASE_REQUESTS.size)].toByteArray(Charsets.ISO_8859_1)
        if (random.nextInt(4) == 0) return ByteArray(random.nextInt(2_000)).also { random.nextBytes(it) }
        val out = ByteArrayOutputStream()
        repeat(1 + random.nextInt(3)) {
            val mutated = base.copyOf()
            repeat(random.nextInt(4)) { mutated[random.nextInt(mutated.size)] = random.nextInt(256).toByte() }
            val length = if (random.nextInt(3) == 0) random.nextInt(mutated.size) else mutated.size
            out.write(mutated, 0, length)
        }
        return out.toByteArray()
    }

    @Test
    fun `every connection gets a response or is closed for any input bytes`() {
        val clients = (1L..SEED_COUNT).map { seed ->
            RawClient(port).also { client ->
                try {
                    client.send(randomInput(Random(seed)))
                } catch (_: IOException) {
                    return@also
                }
            }
        }
        clients.forEach { client -> client.use { readUntilClosed(it) } }
        expectThat(failures).isEmpty()
        RawClient(port).use { client ->
            client.send(BASE_REQUESTS[1])
            expectThat(client.read()!!.body).isEqualTo("POST 5")
        }
    }

    /** Fails with a read timeout if the server leaves the connection open. */
    private fun readUntilClosed(client: RawClient) {
        try {
            while (client.read() != null) Unit
        } catch (_: java.net.SocketException) {
            return
        } catch (_: RuntimeException) {
            return
        }
    }

    private companion object {
        const val SEED_COUNT = 400L
        val BASE_REQUESTS = listOf(
            "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n\r\n",
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
            "POST /p/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n",
            "PUT /p HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab",
        )
    }
}
