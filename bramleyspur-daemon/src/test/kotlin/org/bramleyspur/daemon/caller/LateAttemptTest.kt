package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against the begin of an attempt after the deadline of its request. */
class LateAttemptTest {
    @Test
    fun `an attempt that waited in a frozen agent past its deadline is not begun`() {
        val engine = fakeEngine(EnginePlan(tokens = 3))
        TrafficBed(listOf(engine.port), timeoutMs = 400).use { bed ->
            val bytes = request("POST /v1/completions", """{"model":"m","prompt":"a"}""")
            RawClient(bed.port).use { client ->
                // The transit time is estimated from the fastest message, and the first ones wait for the connection.
                repeat(WARM_UP) {
                    client.send(bytes)
                    expectThat(client.read()!!.status).isEqualTo(200)
                }
                val resume = CountDownLatch(1)
                bed.agentLoops.traffic.execute { resume.await(10, TimeUnit.SECONDS) }
                client.send(bytes)
                val refused = client.read()!!
                expectThat(refused.header("bramleyspur-outcome")).isEqualTo("may_have_run")
                resume.countDown()
            }
            expectThat(bed.running(0)).isEqualTo(0)
            RawClient(bed.port).use { client ->
                client.send(bytes)
                expectThat(client.read()!!.status).isEqualTo(200)
            }
            expectThat(engine.seen("POST /v1/completions")).isEqualTo(WARM_UP + 1)
        }
        engine.close()
    }

    private companion object {
        const val WARM_UP = 5
    }
}
