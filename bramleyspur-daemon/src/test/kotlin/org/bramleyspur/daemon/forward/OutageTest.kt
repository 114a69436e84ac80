package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Guards against requests that are refused in an outage of a second, and against ones that wait without an answer: for
 * the configuration, for a backend server, or for the end of the process.
 */
class OutageTest : ForwardTest() {
    /** What becomes known 300 ms after the request has arrived. */
    private enum class Later { CONFIGURATION, BACKEND, NOTHING, STOP }

    private class Case(val name: String, val configured: Boolean, val later: Later, val status: Int)

    private val cases = listOf(
        Case("the configuration arrives", configured = false, Later.CONFIGURATION, status = 200),
        Case("a backend server arrives", configured = true, Later.BACKEND, status = 200),
        Case("no configuration arrives", configured = false, Later.NOTHING, status = 503),
        Case("no backend server arrives", configured = true, Later.NOTHING, status = 503),
        Case("the process ends without a configuration", configured = false, Later.STOP, status = 503),
        Case("the process ends without a backend server", configured = true, Later.STOP, status = 503),
    )

    @TestFactory
    fun `a request in an outage is answered`() = cases.flatMap { case ->
        listOf("/once/", "/again/").map { path -> case to path }
    }.map { (case, path) ->
        DynamicTest.dynamicTest("${case.name}, $path") {
            val backend = ScriptedBackend(Script(okResponse("hello"))).also { backends += it }
            if (case.configured) apply(document, emptyList()) else loops.traffic.submit { context.routes = null }.get()
            val response = CompletableFuture.supplyAsync { post(path, remainingMs = LIMIT_MS) }
            Thread.sleep(LATER_MS)
            val startNs = System.nanoTime()
            when (case.later) {
                Later.CONFIGURATION, Later.BACKEND -> apply(document, listOf(announcement(0, backend.address)))
                Later.NOTHING -> Unit
                Later.STOP -> loops.traffic.submit { front.endRunning() }.get()
            }
            expectThat(response.get(LIMIT_MS, TimeUnit.MILLISECONDS)?.status).isEqualTo(case.status)
            expectThat((System.nanoTime() - startNs) / NS_PER_MS).isLessThan(LIMIT_MS / 2)
            expectThat(backend.requests.size).isEqualTo(if (case.status == 200) 1 else 0)
        }
    }

    private companion object {
        const val LIMIT_MS = 2_000L
        const val LATER_MS = 300L
        const val NS_PER_MS = 1_000_000L
    }
}
