package org.bramleyspur.daemon.controlplane

import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.freePort
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

/** Guards against a call that ends without a response and without a line, and that ends the calls after it. */
class ControlPlaneServerTest {
    private val failures = CopyOnWriteArrayList<String?>()

    @Test
    fun `a failure in a call is reported and later calls are answered`() {
        val decode: ControlPlaneDecoder = { _, path, _ ->
            if (path == "/fails") throw StackOverflowError("too deep") else ControlPlaneCall.Read
        }
        val group = NioEventLoopGroup(1)
        val address = Address("127.0.0.1", freePort())
        ControlPlaneServer(decode, { failures += it.message }) { _, respond -> respond(ControlPlaneResponse.Accepted) }
            .use { server ->
                server.start(address, group)
                expectThat(runCatching { status(address, "/fails") }.exceptionOrNull() is IOException).isEqualTo(true)
                expectThat(status(address, "/")).isEqualTo(200)
            }
        group.shutdownGracefully()
        expectThat(failures).containsExactly("too deep")
    }

    /** Guards against a late copy of a call, which its caller has given up: it would undo a call sent after it. */
    @Test
    fun `a call that ends with its caller is dropped if it is read after the end`() {
        val handled = CopyOnWriteArrayList<ControlPlaneCall>()
        val dropped = CopyOnWriteArrayList<ControlPlaneCall>()
        val call = ControlPlaneCall.Evacuate("a", evacuated = true)
        val group = NioEventLoopGroup(1)
        val address = Address("127.0.0.1", freePort())
        val server =
            ControlPlaneServer({ _, _, _ -> call }, { failures += it.message }, { dropped += it }) { next, respond ->
                handled += next
                respond(ControlPlaneResponse.Accepted)
            }
        server.use {
            server.start(address, group)
            val frozen = CountDownLatch(1)
            group.next().execute { frozen.await() }
            Socket(address.host, address.port).use { it.getOutputStream().write(CALL.encodeToByteArray()) }
            frozen.countDown()
            repeat(POLLS) { if (dropped.isEmpty()) Thread.sleep(POLL_MS) }
            expectThat(dropped.toList()).isEqualTo(listOf<ControlPlaneCall>(call))
            expectThat(handled.toList()).isEqualTo(emptyList())
            expectThat(status(address, "/")).isEqualTo(200)
            expectThat(handled.toList()).isEqualTo(listOf<ControlPlaneCall>(call))
        }
        group.shutdownGracefully()
        expectThat(failures.toList()).isEqualTo(emptyList())
    }

    /** Sends a POST, which the client does not repeat. */
    private fun status(address: Address, path: String): Int {
        val request = HttpRequest.newBuilder(URI("http://$address$path")).POST(BodyPublishers.noBody()).build()
        return HttpClient.newHttpClient().send(request, BodyHandlers.ofString()).statusCode()
    }

    private companion object {
        const val CALL = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        const val POLLS = 200
        const val POLL_MS = 10L
    }
}
