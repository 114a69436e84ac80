package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture

/**
 * Guards against requests under pressure that stay counted after their end, that wait although their caller has left,
 * and against callers who are refused together and told to return together.
 */
class PressureAdmissionTest : ForwardTest() {
    private val pressure = PressureAdmission(loops.trafficTimers, context.metrics, { 1 }, { random.nextDouble() })

    private fun usePressure() = loops.traffic.submit { context.pressure = pressure }.get().let { }

    /** Reads the state on its own thread, after the event that is running there. */
    private fun onTraffic(read: PressureAdmission.() -> Int): Int = loops.traffic.submit<Int> { pressure.read() }.get()

    private fun events() = streamResponse("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", complete = true)

    @Test
    fun `without pressure, requests are forwarded as ever and leave nothing behind`() {
        usePressure()
        startBackends(List(5) { Script(events()) })
        repeat(5) { expectThat(post("/stream/1")!!.status).isEqualTo(200) }
        expectThat(counted("bramleyspur_pressure_refusals", "/stream/")).isEqualTo(0.0)
        expectThat(onTraffic { inFlight }).isEqualTo(0)
    }

    @Test
    fun `callers without a backend server return at different times, in a third of what they have left`() {
        usePressure()
        apply(document, emptyList())
        val responses = List(5) { CompletableFuture.supplyAsync { post("/stream/1", remainingMs = 300)!! } }
            .map { it.join() }
        expectThat(responses.map { it.status }).all { isEqualTo(503) }
        val times = responses.map { it.header("Retry-After").toDouble() }
        expectThat(times.distinct().size).isGreaterThan(1)
        expectThat(times).all { isIn(0.001..0.1) }
    }

    @Test
    fun `a request that waits in an outage starts after it, and none stays in the room`() {
        usePressure()
        apply(document, emptyList())
        val response = CompletableFuture.supplyAsync { post("/stream/1") }
        expectThat(logLine("request-waits")).isNotNull()
        expectThat(onTraffic { waiting }).isEqualTo(1)
        startBackends(listOf(Script(events())))
        expectThat(response.join()!!.body).contains("data: b")
        expectThat(backends.single().requests).hasSize(1)
        expectThat(onTraffic { waiting }).isEqualTo(0)
    }

    @Test
    fun `a request whose caller has left waits no more`() {
        usePressure()
        apply(document, emptyList())
        sendWithoutReading("/stream/1").use { expectThat(logLine("request-waits")).isNotNull() }
        expectThat(logLine("caller-left")).isNotNull()
        expectThat(onTraffic { waiting }).isEqualTo(0)
    }
}
