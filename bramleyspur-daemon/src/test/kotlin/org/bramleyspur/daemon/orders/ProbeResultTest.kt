package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Ok
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.daemon.forward.Script
import org.bramleyspur.daemon.forward.ScriptedBackend
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Guards against a silent engine that counts as crashed, and against a crashed one that counts as silent only, which
 * delays the replacement of its group.
 */
class ProbeResultTest {
    private val loops = EventLoops()
    private val report = EngineReport(startedOrders = 3, group = null)
    private val dialect = EngineDialect({ OrderRequest("/order", emptyMap(), ByteArray(0)) }, "/state") { Ok(report) }
    private val sender = OrderSender(loops.controlGroup, loops.controlTimers, dialect)

    @AfterEach
    fun close() = loops.close()

    private class Case(val name: String, val expected: ProbeResult, val script: Script?)

    private val cases = listOf(
        Case("a response", ProbeResult.Answered(report), Script("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")),
        Case("an error", ProbeResult.Unanswered, Script("HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n")),
        Case("a closed connection", ProbeResult.Unanswered, Script("", close = true)),
        Case("no response", ProbeResult.Unanswered, Script("")),
        Case("no listener at the address", ProbeResult.Refused, script = null),
    )

    @TestFactory
    fun `result of a probe`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            if (case.script == null) {
                expectThat(probe(unusedAddress())).isEqualTo(case.expected)
            } else {
                ScriptedBackend(case.script).use { expectThat(probe(it.address)).isEqualTo(case.expected) }
            }
        }
    }

    /** Probes repeatedly while there is no response in time, which a slow machine can cause for the first probes. */
    private fun probe(address: String): ProbeResult {
        val results = generateSequence { probeOnce(address) }.take(ATTEMPTS).toList()
        return results.firstOrNull { !it.second.startsWith("no response within") }?.first ?: results.last().first
    }

    private fun probeOnce(address: String): Pair<ProbeResult, String> {
        val result = CompletableFuture<Pair<ProbeResult, String>>()
        loops.control.execute { sender.probe(address) { outcome, detail -> result.complete(outcome to detail) } }
        return result.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun unusedAddress() =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

    private companion object {
        const val ATTEMPTS = 10
        const val RESULT_TIMEOUT_S = 10L
    }
}
