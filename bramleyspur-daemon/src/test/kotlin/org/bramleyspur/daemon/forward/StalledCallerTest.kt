package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.settings.Address
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Guards against callers that stop reading in mid-stream and keep memory of the entry and a slot of an engine. */
class StalledCallerTest : ForwardTest() {
    private val text = "a".repeat(512)
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
            val freed = eventually { inFlight() == 0 }
            expectThat(freed).isTrue()
        }
    }

    @Test
    fun `many callers that take nothing stay within the bound`() {
        startBackend(List(CALLERS) { Script(head, endlessly = event) })
        val small = FrontServer(loops.trafficGroup, context, BOUND_BYTES)
        val smallPort = small.start(Address("127.0.0.1", 0))
        val callers = List(CALLERS) { sendWithoutReading("/stream/", ROUTE_TIMEOUT_MS, smallPort) }
        try {
            Thread.sleep(FILL_MS)
            expectThat(loops.traffic.submit<Long> { small.heldBytes }.get()).isLessThan(BOUND_BYTES)
        } finally {
            callers.forEach { it.close() }
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
        const val CALLERS = 100
        const val FILL_MS = 1_500L
        const val LIMIT_MS = 6_000L
        const val POLL_MS = 100L
        const val BOUND_BYTES = 2L * 1024 * 1024
    }
}
