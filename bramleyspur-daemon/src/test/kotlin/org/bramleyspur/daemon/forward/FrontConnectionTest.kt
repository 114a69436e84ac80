package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.daemon.caller.RawClient
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

/**
 * Guards against a limit on requests that outlives its configuration on open connections, and against a refusal that
 * the caller cannot read.
 */
class FrontConnectionTest : ForwardTest() {
    private var version = 1L

    private fun limit(limits: ClientLimits) = apply(
        document.copy(version = ++version, limits = limits),
        listOf(announcement(0, backends.last().address)),
    )

    private fun request(path: String = "/once/1", headers: String = "", body: String = "") =
        "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 2000\r\nAuthorization: Bearer key\r\n" +
            "${headers}Content-Length: ${body.length}\r\n\r\n$body"

    private class HeadCase(val name: String, val before: Int, val after: Int, val request: String, val status: Int)

    private val headCases = listOf(
        HeadCase("a raised limit", 300, 16_384, request(headers = "X-Long: ${"x".repeat(9_000)}\r\n"), 200),
        HeadCase("a lowered limit", 16_384, 300, request(headers = "X-Long: ${"x".repeat(9_000)}\r\n"), 431),
        HeadCase("a long path below the limit", 16_384, 16_384, request(path = "/once/${"x".repeat(9_000)}"), 200),
        HeadCase("a head without end", 300, 300, "POST /once/1 HTTP/1.1\r\nX-Long: ${"x".repeat(90_000)}", 431),
    )

    @TestFactory
    fun `the size of a head is limited by the configuration in force on open connections`() =
        headCases.flatMap { case ->
            listOf(true, false).map { pipelined ->
                DynamicTest.dynamicTest(case.name + if (pipelined) ", pipelined" else "") { checkHead(case, pipelined) }
            }
        }

    private fun checkHead(case: HeadCase, pipelined: Boolean) {
        startBackends(listOf(Script(okResponse("hello"))))
        limit(ClientLimits(maxHeaderBytes = case.before))
        RawClient(port).use { client ->
            client.send(request())
            expectThat(client.read()!!.status).isEqualTo(200)
            limit(ClientLimits(maxHeaderBytes = case.after))
            client.send(if (pipelined) request() + case.request else case.request)
            if (pipelined) expectThat(client.read()!!.status).isEqualTo(200)
            expectThat(client.read()?.status).isEqualTo(case.status)
        }
    }

    @Test
    fun `a caller can read the refusal of a body that it is still sending`() {
        startBackends(listOf(Script(okResponse("hello"))))
        RawClient(port).use { client ->
            val head = request().replace("Content-Length: 0", "Content-Length: 50000000")
            try {
                client.send(head)
                repeat(200) { client.send(ByteArray(10_000)) }
            } catch (_: IOException) {
                // The connection was reset, so the response may be lost.
            }
            val status = runCatching { client.read()?.status }.getOrNull()
            expectThat(status).isEqualTo(413)
        }
    }
}
