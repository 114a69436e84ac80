package org.bramleyspur.daemon.forward

import org.bramleyspur.daemon.http.MALFORMED_HEADS
import org.bramleyspur.daemon.http.MalformedHead
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a response with a malformed head that reaches the caller as an answer. */
class MalformedHeadTest : ForwardTest() {
    private val fields = "$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\n"
    private val event = "id: 1\ndata: a\n\n"
    private val nextEvent = "id: 2\ndata: b\n\n"
    private val interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"

    private class Framing(val name: String, val header: String?, val close: Boolean)

    private val framings = listOf(
        Framing("with a length", header = null, close = false),
        Framing("until close", header = "Connection: close\r\n", close = true),
    )

    private fun MalformedHead.script(framing: Framing): Script {
        val response = framing.header?.let { response(event, fields, it) } ?: response(event, fields)
        return Script(response, close = framing.close)
    }

    @TestFactory
    fun `a malformed head is no answer`() = MALFORMED_HEADS.flatMap { head ->
        framings.flatMap { framing ->
            listOf("/once/", "/again/", "/stream/").map { path ->
                DynamicTest.dynamicTest("${head.name}, ${framing.name}, $path") {
                    startBackends(listOf(head.script(framing)))
                    expectThat(post(path)?.status).isEqualTo(502)
                }
            }
        }
    }

    @TestFactory
    fun `another backend server answers after a malformed head`() = MALFORMED_HEADS.flatMap { head ->
        listOf("/again/" to okResponse("hello"), "/stream/" to streamResponse(nextEvent, complete = true))
            .map { (path, whole) ->
                DynamicTest.dynamicTest("${head.name}, $path") {
                    startBackends(listOf(head.script(framings[0])), listOf(Script(whole)))
                    val response = post(path)
                    expectThat(response?.status).isEqualTo(200)
                    expectThat(response?.body).isEqualTo(if (path == "/again/") "hello" else nextEvent)
                }
            }
    }

    @TestFactory
    fun `a malformed head does not continue a stream`() = MALFORMED_HEADS.map { head ->
        DynamicTest.dynamicTest(head.name) {
            startBackends(
                listOf(Script(streamResponse(event, complete = false), close = true)),
                listOf(Script(head.response(nextEvent, "${fields}Content-Type: text/event-stream\r\n"))),
            )
            val response = post("/stream/")
            expectThat(response?.body).isEqualTo(event)
            expectThat(response?.complete).isEqualTo(false)
        }
    }

    @TestFactory
    fun `a malformed head on a kept connection is no answer`() = MALFORMED_HEADS.flatMap { head ->
        listOf("" to "", "an interim response" to interim).map { (name, before) ->
            DynamicTest.dynamicTest("${head.name}, after '$name'") {
                startBackends(listOf(Script(okResponse("first")), Script(before + head.response("x", fields))))
                expectThat(post("/again/")?.body).isEqualTo("first")
                expectThat(post("/again/")?.status).isEqualTo(502)
            }
        }
    }

    @TestFactory
    fun `every minor version is forwarded`() = listOf("HTTP/1.0", "HTTP/1.1", "HTTP/1.2").map { version ->
        DynamicTest.dynamicTest(version) {
            startBackends(listOf(Script(okResponse("hello").replace("HTTP/1.1", version))))
            expectThat(post("/once/")?.body).isEqualTo("hello")
        }
    }

    private val statuses = listOf(200, 201, 204, 226, 299, 300, 304, 404, 408, 429, 451, 499, 500, 503, 599, 600, 999)

    @TestFactory
    fun `every status of three digits is forwarded`() = statuses.map { status ->
        DynamicTest.dynamicTest("$status") {
            val bodiless = status in setOf(204, 304)
            val head = okResponse(if (bodiless) "" else "hello").replace("200 OK", "$status Any")
            startBackends(listOf(Script(head)))
            val response = post("/once/")
            expectThat(response?.status).isEqualTo(status)
            expectThat(response?.body).isEqualTo(if (bodiless) "" else "hello")
        }
    }

    private class Field(val line: String, val name: String, val value: String)

    private val soundFields = listOf(
        Field("X-Note:a", "X-Note", "a"),
        Field("X-Note: \t a \t", "X-Note", "a"),
        Field("X-Note:", "X-Note", ""),
        Field("X-Note: a b\tc: d", "X-Note", "a b\tc: d"),
        Field("x!#$%&'*+-.^_`|~9: a", "x!#$%&'*+-.^_`|~9", "a"),
    )

    @TestFactory
    fun `every valid field name is forwarded`() = soundFields.flatMap { field ->
        listOf("" to "", "an interim response" to interim.replace("Link: a", field.line)).map { (name, before) ->
            DynamicTest.dynamicTest("${field.line}, after '$name'") {
                val response = okResponse("hello").replaceFirst("\r\n", "\r\n${field.line}\r\n")
                startBackends(listOf(Script(before + response)))
                // The second response comes on the kept connection.
                repeat(2) {
                    val received = post("/again/")
                    expectThat(received?.status).isEqualTo(200)
                    expectThat(received?.header(field.name)).isEqualTo(field.value)
                    expectThat(received?.body).isEqualTo("hello")
                }
            }
        }
    }

    private val trailers = listOf("", "X-Sum: a\r\n", "X-Sum:a\r\nX-Other: b c\r\n")

    @TestFactory
    fun `a chunked response is complete with any trailers`() = trailers.map { trailer ->
        DynamicTest.dynamicTest("'${trailer.replace("\r\n", ";")}'") {
            val whole = streamResponse(event, complete = false) + "0\r\n$trailer\r\n"
            startBackends(listOf(Script(whole)))
            listOf("/again/", "/stream/", "/once/").forEach { path ->
                val response = post(path)
                expectThat(response?.body).isEqualTo(event)
                expectThat(response?.complete).isEqualTo(true)
            }
        }
    }
}
