package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against attempts that are started after the deadline of their request. */
class LateAttemptTest {
    @Test
    fun `an attempt that waited in a frozen agent past its deadline is not started`() {
        val engine = fakeEngine(EnginePlan(tokens = 3))
        TrafficTestBed(listOf(engine.port)).use { testBed ->
            val bytes = request("POST /v1/completions", """{"model":"m","prompt":"a"}""")
            RawClient(testBed.port).use { client ->
                // The delay is measured relative to the fastest message, and the first ones wait for the connection.
                repeat(WARM_UP_REQUESTS) {
                    client.send(bytes)
                    expectThat(client.read()!!.status).isEqualTo(200)
                }
                // Only the late attempt has a short deadline: the first requests of a cold process take longer.
                val usualTimeoutMs = testBed.setTimeout("m", LATE_TIMEOUT_MS)
                val frozen = CountDownLatch(1)
                val resume = CountDownLatch(1)
                testBed.agentLoops.traffic.execute {
                    frozen.countDown()
                    resume.await(10, TimeUnit.SECONDS)
                }
                expectThat(frozen.await(10, TimeUnit.SECONDS)).isTrue()
                client.send(bytes)
                val refused = client.read()!!
                expectThat(refused.header("bramleyspur-outcome")).isEqualTo("may_have_run")
                resume.countDown()
                testBed.setTimeout("m", usualTimeoutMs)
            }
            expectThat(testBed.running(0)).isEqualTo(0)
            RawClient(testBed.port).use { client ->
                client.send(bytes)
                expectThat(client.read()!!.status).isEqualTo(200)
            }
            expectThat(engine.requestCount("POST /v1/completions")).isEqualTo(WARM_UP_REQUESTS + 1)
        }
        engine.close()
    }

    private companion object {
        const val WARM_UP_REQUESTS = 5
        const val LATE_TIMEOUT_MS = 400L
    }
}
