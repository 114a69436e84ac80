package org.bramleyspur.daemon.caller

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against requests that a stopping entry still passes on, and then cuts off without an answer when it ends. */
class LateCallerTest {
    /** [remainingMs] is the time until the process ends; null while the listener is open. */
    private class Case(val name: String, val remainingMs: Long?, val status: Int, val sentToBackend: Int)

    private val cases = listOf(
        Case("before the listener closes", remainingMs = null, status = 200, sentToBackend = 1),
        Case("a request that ends before the process", REQUEST_MS + 5_000, status = 200, sentToBackend = 1),
        Case("a request that could outlast the process", REQUEST_MS - 1, status = 503, sentToBackend = 0),
        Case("after the end", remainingMs = 0, status = 503, sentToBackend = 0),
    )

    @TestFactory
    fun `a late plain request is passed on only if it ends in time`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            FakeBackend { reply(200, "done") }.use { backend ->
                TrafficTestBed(plains = listOf(backend.port), timeoutMs = REQUEST_MS).use { testBed ->
                    expectThat(statusOf(testBed, case, request("POST /p/x", "{}"))).isEqualTo(case.status)
                    expectThat(backend.requestHeads.size).isEqualTo(case.sentToBackend)
                    val refused = testBed.metrics.requests.labelValues("p", "entry_stopping").longValue
                    expectThat(refused).isEqualTo(1L - case.sentToBackend)
                }
            }
        }
    }

    @TestFactory
    fun `a late model request is refused if it could outlast the process`() =
        cases.filter { it.sentToBackend == 0 }.map { case ->
            DynamicTest.dynamicTest(case.name) {
                FakeBackend { reply(200, "{}") }.use { backend ->
                    TrafficTestBed(engines = listOf(backend.port), timeoutMs = REQUEST_MS).use { testBed ->
                        val body = """{"model":"m","prompt":"a"}"""
                        expectThat(statusOf(testBed, case, request("POST /v1/completions", body))).isEqualTo(503)
                        expectThat(backend.requestHeads.size).isEqualTo(0)
                    }
                }
            }
        }

    private fun statusOf(testBed: TrafficTestBed, case: Case, request: String): Int? {
        val endsAtMs = case.remainingMs?.let { testBed.entryLoops.trafficTimers.nowMs() + it }
        testBed.snapshot = testBed.snapshot.copy(stopping = true, endsAtMs = endsAtMs)
        return RawClient(testBed.port).use { client ->
            client.send(request)
            client.read()?.status
        }
    }

    private companion object {
        const val REQUEST_MS = 3_000L
    }
}
