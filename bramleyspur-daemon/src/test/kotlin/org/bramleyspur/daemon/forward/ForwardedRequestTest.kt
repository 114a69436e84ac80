package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/**
 * Guards against a request that runs twice, a request that may have run but is reported as not run, a response that is
 * truncated, duplicated or another request's, and headers that must not reach a backend server.
 */
class ForwardedRequestTest : ForwardTest() {
    @Test
    fun `a response is forwarded unchanged and the backend server sees only the headers meant for it`() {
        startBackends(listOf(Script(okResponse("hello"))))
        val response = post("/once/1")!!
        expectThat(response.status to response.body).isEqualTo(200 to "hello")
        expectThat(response.header(SEAL_HEADER)).isEqualTo("s")
        val request = backends[0].requests.single().lowercase()
        expectThat(request).contains("x-target: b0").contains("x-account: acme")
        expectThat("authorization" in request).isFalse()
    }

    @Test
    fun `a non-idempotent request is not retried without proof that it did not run`() {
        startBackends(listOf(Script("", close = true)), listOf(Script(okResponse("second"))))
        expectThat(post("/once/1")!!.status).isEqualTo(502)
        expectThat(backends.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `a request that provably did not run is refused with a retry delay`() {
        startBackends(listOf(Script("HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n")))
        val response = post("/once/1")!!
        expectThat(response.status).isEqualTo(503)
        expectThat(response.header("Retry-After").toDouble() > 0).isTrue()
    }

    @Test
    fun `an idempotent request is retried on another backend server`() {
        startBackends(listOf(Script("", close = true)), listOf(Script(okResponse("second"))))
        expectThat(post("/again/1")!!.body).isEqualTo("second")
    }

    @Test
    fun `a truncated plain response stays incomplete and is not continued by another backend server`() {
        val truncated = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\nContent-Length: 10\r\n\r\nabc"
        startBackends(listOf(Script(truncated, close = true)), listOf(Script(okResponse("0123456789"))))
        val response = post("/again/1")!!
        expectThat(response.complete).isFalse()
        expectThat(response.body).isEqualTo("abc")
    }

    @Test
    fun `a stream resumes after its last complete event`() {
        val interrupted = streamResponse("id: 1\ndata: a\n\n", "id: 2\nda", complete = false)
        val resumed = streamResponse("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", complete = true)
        startBackends(listOf(Script(interrupted, close = true)), listOf(Script(resumed)))
        val response = post("/stream/1")!!
        expectThat(response.complete).isTrue()
        expectThat(response.body).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        expectThat(backends[1].requests.single().lowercase()).contains("last-event-id: 1")
    }

    @Test
    fun `a response to another request is skipped`() {
        startBackends(listOf(Script(okResponse("other", id = "6") + okResponse("expected"))))
        expectThat(post("/again/1")!!.body).isEqualTo("expected")
    }

    @Test
    fun `requests that the configuration does not allow are refused`() {
        expectThat(post("/once/1")!!.status).isEqualTo(503)
        startBackends(listOf(Script(okResponse("hello"))))
        expectThat(post("/nowhere/")!!.status).isEqualTo(404)
        expectThat(post("/once/1", key = "unknown")!!.status).isEqualTo(401)
        expectThat(post("/once/1", body = "x".repeat(101))!!.status).isEqualTo(413)
        expectThat(backends[0].requests).hasSize(0)
    }
}
