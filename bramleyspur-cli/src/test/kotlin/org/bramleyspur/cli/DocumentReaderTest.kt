package org.bramleyspur.cli

import com.github.michaelbull.result.get
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** Guards against a malformed or cut response that is taken for the document in force. */
class DocumentReaderTest {
    private class Case(val name: String, val response: String, val reset: Boolean, val document: String?)

    private val cases = listOf(
        Case("a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{7}", reset = false, document = "{7}"),
        Case("no length", "HTTP/1.1 200 OK\r\n\r\n{7}", reset = false, document = "{7}"),
        Case("no length, reset", "HTTP/1.1 200 OK\r\n\r\n{7}", reset = true, document = null),
        Case("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\n{7}", reset = false, document = null),
    ) + listOf("X Note: a", "X-Note\u0001: a", " X-Note: a", "Content-Length x: 2").map {
        Case("field '$it'", "HTTP/1.1 200 OK\r\n$it\r\nContent-Length: 3\r\n\r\n{7}", reset = false, document = null)
    }

    @TestFactory
    fun `a document is read from a sound response only`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                thread(isDaemon = true) {
                    server.accept().use { socket ->
                        socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                        socket.getOutputStream().write(case.response.encodeToByteArray())
                        Thread.sleep(PAUSE_MS)
                        if (case.reset) socket.setSoLinger(true, 0)
                    }
                }
                val address = ControlAddress("127.0.0.1", server.localPort)
                val document = readDocumentInForce(listOf(address), "/", TIMEOUT_MS).get()
                expectThat(document?.decodeToString()).isEqualTo(case.document)
            }
        }
    }

    private companion object {
        const val REQUEST_BYTES = 4_096
        const val PAUSE_MS = 100L
        const val TIMEOUT_MS = 2_000
    }
}
