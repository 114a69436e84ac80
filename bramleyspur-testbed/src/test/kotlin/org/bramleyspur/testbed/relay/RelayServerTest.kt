package org.bramleyspur.testbed.relay

import org.bramleyspur.testbed.anyPort
import org.bramleyspur.testbed.call
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class RelayServerTest {
    private val received = LinkedBlockingQueue<Int>()
    private val echo = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))
    private val relay =
        RelayServer(anyPort(), listOf(LinkSettings("l", anyPort(), InetSocketAddress("127.0.0.1", echo.localPort))), 1)

    init {
        thread(isDaemon = true) { while (!echo.isClosed) runCatching { serve(echo.accept()) } }
    }

    @AfterEach
    fun close() {
        echo.close()
        relay.close()
    }

    /** Guards against a relay that passes bytes in the dropped direction, or also drops those in the other one. */
    @ParameterizedTest
    @CsvSource("forward,false", "backward,true", "both,false")
    fun `dropped directions pass no bytes until restored`(direction: String, arrives: Boolean) {
        val socket = connect()
        expectThat(roundTrip(socket, 1)).isEqualTo(1)
        received.clear()
        command("""{"command":"drop","direction":"$direction"}""")
        socket.soTimeout = 100
        expectThrows<SocketTimeoutException> { roundTrip(socket, 2) }
        expectThat(received.poll(if (arrives) 5000 else 0, TimeUnit.MILLISECONDS)).isEqualTo(if (arrives) 2 else null)
        command("""{"command":"restore"}""")
        expectThat(runCatching { socket.getInputStream().read() }.getOrDefault(-1)).isEqualTo(-1)
        expectThat(roundTrip(connect(), 3)).isEqualTo(3)
    }

    /** Guards against a cut link that keeps existing connections or accepts new ones. */
    @Test
    fun `a cut link closes and refuses connections until restored`() {
        val socket = connect()
        expectThat(roundTrip(socket, 1)).isEqualTo(1)
        command("""{"command":"cut"}""")
        expectThat(runCatching { socket.getInputStream().read() }.getOrDefault(-1)).isEqualTo(-1)
        expectThrows<IOException> { connect() }
        command("""{"command":"restore"}""")
        expectThat(roundTrip(connect(), 2)).isEqualTo(2)
    }

    /** Guards against a delay that is not applied or that reorders bytes. */
    @Test
    fun `a delayed link preserves the order of bytes`() {
        val socket = connect()
        roundTrip(socket, 1)
        command("""{"command":"delay","delay_ms":60}""")
        val startNanos = System.nanoTime()
        socket.getOutputStream().write(2)
        // After two more calls the relay's event loop has read the byte, so that the long delay applies to it.
        repeat(2) { call(relay.adminPort, "/links") }
        command("""{"command":"delay","delay_ms":1,"jitter_ms":1}""")
        socket.getOutputStream().write(3)
        expectThat(List(2) { socket.getInputStream().read() }).isEqualTo(listOf(2, 3))
        expectThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(60_000_000)
    }

    private fun serve(socket: Socket) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val byte = socket.getInputStream().read()
                    if (byte < 0) break
                    received += byte
                    socket.getOutputStream().write(byte)
                }
                socket.close()
            }
        }
    }

    private fun connect() = Socket("127.0.0.1", relay.port("l")).apply { soTimeout = 5000 }

    private fun roundTrip(socket: Socket, byte: Int): Int {
        socket.getOutputStream().write(byte)
        return socket.getInputStream().read()
    }

    private fun command(body: String) {
        expectThat(call(relay.adminPort, "/links/l", body).statusCode()).isEqualTo(200)
    }
}
