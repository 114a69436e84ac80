package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * Guards against a stalled stream that passes for a sound one because it sends a byte now and then, and against a slow
 * but sound stream that is cut.
 */
class StalledStreamTest : ForwardTest() {
    /** A backend server that sends [first], and then [drip] at intervals until the connection closes. */
    private class DrippingBackend(private val first: String, private val drip: (number: Int) -> String?) :
        AutoCloseable {
        private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val address = "127.0.0.1:${server.localPort}"

        init {
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
                    thread(isDaemon = true) { serve(socket) }
                }
            }
        }

        private fun serve(socket: Socket) = try {
            socket.use {
                it.getInputStream().read(ByteArray(READ_BYTES))
                it.getOutputStream().send(first)
                var number = 0
                while (true) {
                    Thread.sleep(DRIP_INTERVAL_MS)
                    it.getOutputStream().send(drip(number++) ?: break)
                }
            }
        } catch (_: IOException) {
            // The peer has closed the connection.
        }

        private fun OutputStream.send(text: String) {
            write(text.encodeToByteArray())
            flush()
        }

        override fun close() = server.close()
    }

    private val dripping = ArrayList<DrippingBackend>()

    @AfterEach
    fun closeDripping() = dripping.forEach { it.close() }

    private val head =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nContent-Type: text/event-stream\r\n"

    private fun event(id: Int) = "id: $id\ndata: $id\n\n"

    private class StalledCase(val name: String, val begun: String, val drip: String)

    private val stalledCases = listOf(
        StalledCase("bytes of an event that never ends", event(1) + "id: 2\ndata: ", "x"),
        StalledCase("line breaks", event(1), "\n"),
        StalledCase("comments", event(1), ": wait\n\n"),
        StalledCase("bytes of a first event that never ends", "id: 1\ndata: ", "x"),
    )

    @TestFactory
    fun `a stream without events is continued elsewhere`() = stalledCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val stalled = DrippingBackend("$head\r\n${case.begun}") { case.drip }.also { dripping += it }
            val sound = ScriptedBackend(Script(streamResponse(event(1) + event(2) + event(3), complete = true)))
            backends += sound
            announce(listOf(stalled.address, sound.address))
            val startNs = System.nanoTime()
            val response = post("/stream/1", remainingMs = DEADLINE_MS)
            val tookMs = (System.nanoTime() - startNs) / NS_PER_MS
            expectThat(response?.complete).isEqualTo(true)
            expectThat(response?.body?.lines()?.filter { it.startsWith("id:") })
                .isEqualTo(listOf("id: 1", "id: 2", "id: 3"))
            expectThat(tookMs).isLessThan(DEADLINE_MS)
        }
    }

    /** Each event takes three drips, which is longer than the limit for silence. */
    @Test
    fun `a slow stream without another backend server is not cut`() {
        val slow = DrippingBackend("$head\r\n") { number ->
            val id = number / DRIPS_PER_EVENT + 1
            listOf("id: $id\n", "data: $id\n", "\n")[number % DRIPS_PER_EVENT].takeIf { id <= SLOW_EVENTS }
        }.also { dripping += it }
        announce(listOf(slow.address))
        val response = post("/stream/1", remainingMs = DEADLINE_MS)
        expectThat(response?.complete).isEqualTo(true)
        expectThat(response?.body).isEqualTo((1..SLOW_EVENTS).joinToString("") { event(it) })
    }

    private companion object {
        const val DRIP_INTERVAL_MS = 250L
        const val DRIPS_PER_EVENT = 3
        const val SLOW_EVENTS = 3
        const val DEADLINE_MS = 2_900L
        const val READ_BYTES = 4_096
        const val NS_PER_MS = 1_000_000L
    }
}
