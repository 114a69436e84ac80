package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.RouteKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

/** Guards against a caller that stops reading in mid-stream and keeps a slot of an engine. */
class StalledCallerTest : ForwardTest() {
    private val text = "a".repeat(16 * 1024)
    private val event = "data:$text\n\n".let { "${it.length.toString(16)}\r\n$it\r\n" }
    private val head = streamResponse(complete = false)

    private fun startBackend(script: List<Script>) {
        val patient = route("/stream/", RouteKind.STREAMING, 2).copy(timeoutMs = ROUTE_TIMEOUT_MS)
        startServices(document(listOf(patient)), mapOf("s" to listOf(ScriptedBackend(*script.toTypedArray()))))
    }

    @Test
    fun `a response whose caller takes nothing is broken off, and its engine is free`() {
        startBackend(listOf(Script(head, endlessly = event)))
        sendWithoutReading("/stream/", ROUTE_TIMEOUT_MS).use {
            expectThat(eventually { inFlight() == 1 }).isTrue()
            expectThat(eventually { inFlight() == 0 }).isTrue()
        }
    }

    private fun inFlight() = loops.traffic.submit<Int> { front.runningRequests }.get()

    private fun eventually(condition: () -> Boolean): Boolean {
        val endMs = System.currentTimeMillis() + LIMIT_MS
        while (System.currentTimeMillis() < endMs) {
            if (condition()) return true
            Thread.sleep(POLL_MS)
        }
        return condition()
    }

    private companion object {
        const val ROUTE_TIMEOUT_MS = 30_000L
        const val LIMIT_MS = 6_000L
        const val POLL_MS = 100L
    }
}
