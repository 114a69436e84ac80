package org.bramleyspur.daemon.forward

import org.bramleyspur.daemon.caller.RawResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Guards against a request that is given up, or joined from two runs, because its backend server is silent. */
class SilentBackendTest : ForwardTest() {
    private val cases = SentBefore.entries.flatMap { before ->
        Others.entries.flatMap { others ->
            listOf(700L, 1_300L, 2_100L).map { SilentBackendCase(before, others, it) }
        }
    }

    @TestFactory
    fun `a request is served although its backend server is silent`(): List<DynamicTest> {
        val servers = cases.associate { it.service to it.servers() }
        cases.filter { it.others == Others.DO_NOT_ACCEPT }
            .forEach { case -> servers.getValue(case.service).drop(1).forEach { it.close() } }
        startServices(document(cases.map { patientRoute(it.path, it.before, it.service) }), servers)
        val pool = Executors.newFixedThreadPool(cases.size)
        val responses = cases.map { case -> pool.submit(Callable { post(case.path, remainingMs = PATIENCE_MS) }) }
        val tests = cases.zip(responses).map { (case, response) ->
            DynamicTest.dynamicTest(case.service) { expectWhole(case, response.get()!!) }
        }
        return tests + DynamicTest.dynamicTest("load counters") { expectNoLoad() }
    }

    private fun patientRoute(path: String, before: SentBefore, service: String) =
        route(path, before.kind, attempts = 3, service).copy(timeoutMs = PATIENCE_MS, targetLatencyMs = 400)

    private fun expectWhole(case: SilentBackendCase, response: RawResponse) {
        expectThat(response.status).isEqualTo(200)
        // The caller has got a part of the response, and no rule allows to continue it.
        val brokenOff = case.before == SentBefore.NO_BYTE && case.others == Others.BREAK_OFF
        expectThat(response.complete).isEqualTo(!brokenOff)
        if (brokenOff) return
        if (case.before == SentBefore.NO_BYTE) {
            expectThat(response.body).isEqualTo(SilentBackendCase.PLAIN_BODY)
        } else {
            expectThat(SilentBackendCase.wrongEvents(response.body)).isNull()
        }
    }

    private fun expectNoLoad() {
        val left = loops.traffic.submit<List<String>> {
            context.directory.backends.values.mapNotNull { context.loads.loadOf(it.announcement) }
                .filter {
                    it.inFlight != 0 || it.activeStreams != 0 || it.contextTokens != 0L ||
                        it.pendingPrefillTokens != 0L
                }
                .map { it.id }
        }.get()
        expectThat(left).isEqualTo(emptyList())
    }

    private companion object {
        const val PATIENCE_MS = 5_000L
    }
}
