package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentListOf
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.daemon.caller.RawClient
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.time.Duration
import java.time.Instant
import java.util.Random
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import java.util.random.RandomGenerator

/**
 * Guards against a whole request that gets neither an answer nor a refusal, or only at its deadline, because an
 * exception is thrown while it is admitted, sent or answered.
 */
class FrontFaultTest : ForwardTest() {
    /** [status] is that of the answer, null if it breaks off; [inject] makes the entry throw the error once. */
    private class Case(
        val name: String,
        val path: String,
        val script: Script?,
        val status: Int?,
        val inject: FrontFaultTest.(Throwable) -> Unit,
    )

    private val logFault: FrontFaultTest.(Throwable) -> Unit = { error ->
        val pending = AtomicReference<Throwable?>(error)
        onLogLine = { pending.getAndSet(null)?.let { throw it } }
    }

    private val cases = listOf(
        Case("in admission", "/once/1", Script(""), 503) { error ->
            val pending = AtomicReference<Throwable?>(error)
            random = RandomGenerator { pending.getAndSet(null)?.let { throw it } ?: 0L }
        },
        Case("while the request is built", "/once/1", Script(""), 503) {
            val account = DocumentAccount("line\nbreak", persistentListOf("key"), null)
            loops.traffic.submit {
                val routes = context.routes!!.document.copy(accounts = persistentListOf(account))
                context.routes = org.bramleyspur.traffic.forward.RouteTable(routes)
            }.get()
        },
        Case("after no connection", "/once/1", script = null, 503, logFault),
        Case("after a closed connection", "/once/1", Script("", close = true), 502, logFault),
        Case(
            "after a stream broke off",
            "/stream/1",
            Script(streamResponse("id: 1\ndata: a\n\n", complete = false), close = true),
            null,
            logFault,
        ),
    )

    @TestFactory
    fun `the caller gets a truthful answer at once and the entry goes on`() = cases.flatMap { case ->
        listOf(IllegalStateException("fault"), StackOverflowError()).map { error ->
            DynamicTest.dynamicTest("${error::class.simpleName} ${case.name}") { check(case, error) }
        }
    }

    private fun check(case: Case, error: Throwable) {
        startBackends(listOf(case.script ?: Script("")))
        if (case.script == null) backends.last().close()
        case.inject(this, error)
        val startedAt = Instant.now()
        RawClient(port).use { client ->
            client.send(request(case.path))
            val response = client.read()!!
            expectThat(Duration.between(startedAt, Instant.now())).isLessThan(Duration.ofSeconds(1))
            expectThat(if (response.complete) response.status else null).isEqualTo(case.status)
            if (case.status == 503) expectThat(response.header("Retry-After").toDouble() > 0).isEqualTo(true)
            if (response.complete) expectThat(client.isAtEnd()).isEqualTo(true)
        }
        expectThat(logLine("\"request-fault\"", "\"request\":\"7\"", "config")).isNotNull()
        random = Random(1)
        startBackends(listOf(Script(okResponse("hello"))))
        expectThat(post("/once/1")!!.body).isEqualTo("hello")
    }

    @TestFactory
    fun `a fault at the end of a response does not hold up the next request`() =
        listOf(IllegalStateException("fault"), StackOverflowError()).map { error ->
            DynamicTest.dynamicTest("${error::class.simpleName}") {
                startBackends(listOf(Script(okResponse("hello"))))
                RawClient(port).use { client ->
                    logFault(error)
                    client.send(request("/once/1"))
                    expectThat(client.read()!!.body).isEqualTo("hello")
                    client.send(request("/once/2"))
                    expectThat(client.read()?.body).isEqualTo("hello")
                }
            }
        }

    @TestFactory
    fun `a pipelined request is answered after a fault`() =
        listOf(IllegalStateException("fault"), StackOverflowError()).map { error ->
            DynamicTest.dynamicTest("${error::class.simpleName}") {
                GatedBackend(okResponse("hello"), "").use { backend ->
                    apply(document, listOf(announcement(0, backend.address)))
                    RawClient(port).use { client ->
                        client.send(request("/once/1") + request("/once/2"))
                        expectThat(backend.received.await(1, TimeUnit.SECONDS)).isEqualTo(true)
                        val pending = AtomicReference<Throwable?>(error)
                        random = RandomGenerator { pending.getAndSet(null)?.let { throw it } ?: 0L }
                        backend.open()
                        expectThat(client.read()!!.body).isEqualTo("hello")
                        expectThat(client.read()?.status).isEqualTo(503)
                    }
                }
            }
        }

    private fun request(path: String) = "POST $path HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Left: 3000\r\n" +
        "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n"
}
