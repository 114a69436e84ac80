package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a response that broke off in its head, or right after it, and reached the caller as a complete success
 * with an empty or short body.
 */
class BrokenHeadTest : ForwardTest() {
    private class Framing(val name: String, val header: String)

    private val framings = listOf(
        Framing("length", "Content-Length: 12\r\n"),
        Framing("chunked", "Transfer-Encoding: chunked\r\n"),
        Framing("until close", "Server: engine\r\n"),
        Framing("until close, as said", "Connection: close\r\n"),
    )

    private val interims = listOf("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")

    private fun headOf(framing: Framing) =
        "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\n${framing.header}X-Load: 1,0,8\r\n\r\n"

    /** Places at which a head is cut: after each line and within each, and at its end. */
    private fun cutsOf(head: String): List<Int> {
        val ends = head.indices.filter { head[it] == '\n' }.map { it + 1 }
        return (listOf(0) + ends).zip(ends) { start, end -> listOf(start + 1, (start + end) / 2, end - 1, end) }
            .flatten()
            .distinct()
    }

    @TestFactory
    fun `a cut head is no success`() = framings.flatMap { framing ->
        interims.flatMap { interim ->
            listOf("/once/", "/stream/").map { path ->
                DynamicTest.dynamicTest("${framing.name}, $path, after '${interim.take(12)}'") {
                    val head = headOf(framing)
                    for (cut in cutsOf(head)) {
                        startBackends(listOf(Script(interim + head.take(cut), close = true)))
                        val response = post(path)
                        val whole = response?.status == 200 && response.complete
                        expectThat(whole).describedAs("whole after $cut of ${head.length} characters").isEqualTo(false)
                    }
                }
            }
        }
    }

    @TestFactory
    fun `another backend server answers after a cut head`() = framings.flatMap { framing ->
        listOf(
            "/again/" to okResponse("hello"),
            "/stream/" to streamResponse("id: 1\ndata: a\n\n", complete = true),
        ).map { (path, whole) ->
            DynamicTest.dynamicTest("${framing.name}, $path") {
                val head = headOf(framing)
                for (cut in cutsOf(head)) {
                    startBackends(listOf(Script(head.take(cut), close = true)), listOf(Script(whole)))
                    val response = post(path)
                    expectThat(response?.status).describedAs("status after $cut characters").isEqualTo(200)
                    expectThat(response?.complete).isEqualTo(true)
                }
            }
        }
    }

    private val bodiless = listOf("204 No Content", "304 Not Modified")

    @TestFactory
    fun `a response that has no body by its status is whole`() = bodiless.map { status ->
        DynamicTest.dynamicTest(status) {
            startBackends(listOf(Script(headOf(framings[2]).replace("200 OK", status), close = true)))
            expectThat(post("/once/")?.status).isEqualTo(status.take(3).toInt())
        }
    }

    @TestFactory
    fun `a kept connection on which a head is cut`() = framings.map { framing ->
        DynamicTest.dynamicTest(framing.name) {
            val head = headOf(framing)
            for (cut in cutsOf(head)) {
                startBackends(listOf(Script(okResponse("hello")), Script(head.take(cut), close = true)))
                expectThat(post("/again/")?.body).isEqualTo("hello")
                val second = post("/again/")
                expectThat(second?.status == 200 && second.complete).describedAs("whole after $cut").isEqualTo(false)
            }
        }
    }
}
