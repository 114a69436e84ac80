package org.bramleyspur.daemon.forward

import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.FakeCall
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against "not run" for a request that ran, and against a response that reaches another request, when a backend
 * server writes an earlier refusal or response once more on a kept connection.
 */
class RepeatedRefusalTest : ForwardTest() {
    /**
     * Bytes sent in response to the first request, and at once when the second one arrives; then what the callers of
     * both requests get, how often the second one reaches the server, and bytes sent while the connection is idle.
     */
    private class Case(
        val name: String,
        val first: String,
        val stray: String,
        val firstStatus: Int,
        val status: Int,
        val sends: Int = 1,
        val path: String = "/again/1",
        val afterFirst: String = "",
        val strayOnSameConnection: Boolean = false,
    )

    private fun refusal(id: String? = null, status: Int = 503) =
        "HTTP/1.1 $status Refused\r\n${id?.let { "$ATTEMPT_ID_HEADER: $it\r\n" }.orEmpty()}X-Not: 1\r\n" +
            "Content-Length: 0\r\n\r\n"

    private val unnamedSuccess = okResponse("stray").replace("$ATTEMPT_ID_HEADER: 7\r\n", "")

    private val half = refusal().length / 2

    private val cases = listOf(
        Case("a refusal with the previous id", refusal("1"), refusal("1"), 503, 200),
        Case("two refusals with the previous id", refusal("1"), refusal("1").repeat(2), 503, 200),
        Case("a refusal without an id", refusal("1"), refusal(), 503, 502),
        Case("a refusal without an id, as before", refusal(), refusal(), 503, 502),
        Case("two refusals without an id", refusal(), refusal().repeat(2), 503, 502),
        Case("429 without an id", refusal("1"), refusal(status = 429), 503, 502),
        Case("421 without an id", refusal("1"), refusal(status = 421), 503, 502),
        Case("400 without an id", refusal("1"), refusal(status = 400), 503, 502),
        Case("a success without an id", okResponse("1", id = "1"), unnamedSuccess, 200, 200),
        Case("a success with the previous id", okResponse("1", id = "1"), okResponse("1", id = "1"), 200, 200),
        Case("a refusal with its own id", refusal("1"), refusal("2"), 503, 503),
        Case("in the packet of the first one", refusal("1") + refusal(), "", 503, 200),
        Case(
            "half of it in the packet of the first one",
            refusal() + refusal().take(half),
            refusal().drop(half),
            503,
            200,
            strayOnSameConnection = true,
        ),
        Case("while the connection is idle", refusal("1"), "", 503, 200, afterFirst = refusal()),
        Case("may run once, with the previous id", refusal("1"), refusal("1"), 503, 200, path = "/once/1"),
        Case("may run once, in the packet of the first", refusal() + refusal(), "", 503, 200, path = "/once/1"),
        Case("may run once, the connection is idle", refusal(), "", 503, 200, path = "/once/1", afterFirst = refusal()),
    )

    private fun FakeCall.respond(case: Case, connections: Int) {
        val id = header(ATTEMPT_ID_HEADER)
        when (id) {
            "1" -> {
                write(case.first)
                Thread.sleep(PAUSE_MS)
                if (case.afterFirst.isNotEmpty()) write(case.afterFirst)
            }
            "2" -> {
                if (connections == 1 || !case.strayOnSameConnection) write(case.stray)
                Thread.sleep(PAUSE_MS)
                write(okResponse("own $id", id))
            }
            else -> write(okResponse("own $id", id))
        }
    }

    @TestFactory
    fun `one backend server`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            lateinit var server: FakeBackend
            server = FakeBackend { respond(case, server.connections) }
            server.use { backend ->
                announce(listOf("127.0.0.1:${backend.port}"))
                expectThat(post(case.path, id = "1")!!.status).isEqualTo(case.firstStatus)
                Thread.sleep(2 * PAUSE_MS)
                val response = post(case.path, id = "2")!!
                expectThat(response.status).isEqualTo(case.status)
                if (case.status == 200) expectThat(response.body).isEqualTo("own 2")
                expectThat(backend.requestHeads.count { "$ATTEMPT_ID_HEADER: 2\r\n" in it }).isEqualTo(case.sends)
                expectThat(post(case.path, id = "3")!!.body).isEqualTo("own 3")
            }
        }
    }

    /** Guards against a second send that is not counted, and against a refusal that keeps a request from a success. */
    @TestFactory
    fun `a second backend server responds`() = listOf("/again/1" to 200, "/stream/1" to 200).map { (path, status) ->
        DynamicTest.dynamicTest(path) {
            val case = Case("", refusal("1"), refusal(), 503, status)
            FakeBackend { respond(case, connections = 1) }.use { first ->
                FakeBackend { write(if (path == "/again/1") okResponse("b", header(ATTEMPT_ID_HEADER)) else stream()) }
                    .use { second ->
                        announce(listOf("127.0.0.1:${first.port}"))
                        expectThat(post(path, id = "1")!!.status).isEqualTo(503)
                        announce(listOf(first, second).map { "127.0.0.1:${it.port}" })
                        Thread.sleep(2 * PAUSE_MS)
                        expectThat(post(path, id = "2")!!.status).isEqualTo(status)
                        expectThat(first.requestHeads.size to second.requestHeads.size).isEqualTo(2 to 1)
                    }
            }
        }
    }

    private fun FakeCall.stream() = streamResponse("id: 1\ndata: a\n\n", complete = true)
        .replace("$ATTEMPT_ID_HEADER: 7", "$ATTEMPT_ID_HEADER: ${header(ATTEMPT_ID_HEADER)}")

    /** Guards against a true refusal without an id that is taken for one that may have run. */
    @TestFactory
    fun `a refusal without an id on a new connection is a refusal`() = listOf(503, 429, 421, 400).flatMap { status ->
        listOf("/once/1", "/again/1", "/stream/1").map { path ->
            DynamicTest.dynamicTest("$status $path") {
                startBackends(listOf(Script(refusal(status = status))))
                expectThat(post(path)!!.status).isEqualTo(503)
            }
        }
    }

    /** Guards against a stray head within a chunked body that passes for a part of it. */
    @TestFactory
    fun `a head in the middle of a chunked body breaks the response off`() =
        listOf("/again/1", "/stream/1").map { path ->
            DynamicTest.dynamicTest(path) {
                val begun = streamResponse("id: 1\ndata: a\n\n", complete = false)
                startBackends(listOf(Script(begun + refusal() + "0\r\n\r\n")))
                val response = post(path)!!
                expectThat(response.body to response.complete).isEqualTo("id: 1\ndata: a\n\n" to false)
            }
        }

    private companion object {
        const val PAUSE_MS = 100L
    }
}
