package org.bramleyspur.testbed.bench

import org.bramleyspur.testbed.anyPort
import org.bramleyspur.testbed.engine.EngineServer
import org.bramleyspur.testbed.engine.EngineSettings
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEqualTo
import java.net.InetSocketAddress

class LoadRunTest {
    private val accounts = listOf(BenchAccount("a", "k"), BenchAccount("b", "l"))
    private val shape = CallShape(maxTokens = 5, promptBytes = 60, sharedPromptBytes = 40)

    /** More slots than calls: a run that starts late sends all its calls at once, and a full engine refuses calls. */
    private val settings = EngineSettings(slots = 200, decodeMs = 0.2, model = "m")

    /** Guards against a load that cannot be reproduced from its seed. */
    @Test
    fun `the same seed plans the same calls`() {
        expectThat(calls(1)).isEqualTo(calls(1))
        expectThat(calls(1)).isNotEqualTo(calls(2))
    }

    /** Guards against coordinated omission: a delay before a call is sent must count in its latency. */
    @Test
    fun `latency counts from the intended start`() {
        val delayNanos = 3_000_000_000
        val report = run(calls(1), "v1", System.nanoTime() - delayNanos)
        expectThat(report.firstToken.p50).isGreaterThanOrEqualTo(1000.0)
        expectThat(report.firstToken.max).isGreaterThanOrEqualTo(2500.0)
        expectThat(report.outcomes).isEqualTo(mapOf("complete" to report.offered))
        expectThat(report.firstToken.count).isEqualTo(report.offered)
    }

    /** Guards against a verification of texts that accepts any text. */
    @ParameterizedTest
    @CsvSource("v1,complete", "v2,wrong_text")
    fun `every text is verified`(expectedVersion: String, outcome: String) {
        val calls = calls(1).take(10)
        expectThat(run(calls, expectedVersion).outcomes).isEqualTo(mapOf(outcome to 10L))
    }

    /** Guards against calls that are missing from the counts when no server listens. */
    @Test
    fun `a call without a listening server is counted`() {
        val port = EngineServer(anyPort(), settings).use { it.port }
        val calls = calls(1).take(3)
        expectThat(run(calls, "v1", port = port).outcomes).isEqualTo(mapOf(Outcomes.NOT_CONNECTED to 3L))
    }

    private fun calls(seed: Long) = plan(listOf(Phase("g", 100.0, 1.0, listOf(1.0, 1.0))), accounts, shape, seed)

    private fun run(calls: List<PlannedCall>, version: String, startNanos: Long = System.nanoTime()): GroupReport =
        EngineServer(anyPort(), settings).use { run(calls, version, startNanos, it.port) }

    private fun run(
        calls: List<PlannedCall>,
        version: String,
        startNanos: Long = System.nanoTime(),
        port: Int,
    ): GroupReport {
        val targets = Targets(listOf(InetSocketAddress("127.0.0.1", port)), null)
        val run = LoadRun(calls, targets, BenchModel("m", version, null), seed = 1, timeoutMs = 5000)
        return run.run(startNanos).getValue("g").report(1.0)
    }
}
