package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Err
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.daemon.caller.ENDLESS_HEADS
import org.bramleyspur.daemon.caller.EndlessResponse
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.Flood
import org.bramleyspur.daemon.caller.awaitTrue
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against an engine that responds to control without end, and control that keeps or reads all of it. */
class EndlessEngineResponseTest {
    private val largestReport = AtomicInteger()
    private val loops = EventLoops()
    private val dialect = EngineDialect(
        encodeOrder = { OrderRequest("/order", emptyMap(), "{}".encodeToByteArray()) },
        statePath = "/state",
        decodeReport = { report ->
            largestReport.accumulateAndGet(report.size, ::maxOf)
            Err("no report")
        },
    )
    private val sender = OrderSender(loops.controlGroup, loops.controlTimers, dialect)

    @AfterEach
    fun close() = loops.close()

    private val cases = ENDLESS_HEADS + listOf(
        EndlessResponse("a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"),
        EndlessResponse("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"),
        EndlessResponse("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        EndlessResponse("a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "abcd"),
        EndlessResponse("a refusal without a length", "HTTP/1.1 421 Not here\r\n\r\n", "abcd"),
    )

    @TestFactory
    fun `an order and a probe have no result, and their connections are closed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val flood = Flood()
            FakeBackend { flood.send(this, case.start) { case.next } }.use { engine ->
                expectThat(sender.orderAndProbe(engine, loops))
                    .isEqualTo(OrderResult.UNANSWERED to ProbeResult.Unanswered)
                awaitTrue(CLOSE_LIMIT_MS, "the end of the connections") { flood.open.get() == 0 }
            }
        }
    }

    @Test
    fun `little is kept of a long report`() {
        FakeBackend { reply(200, "a".repeat(LONG_REPORT_BYTES)) }.use { engine ->
            val probeResult = CompletableFuture<ProbeResult>()
            loops.control.execute {
                sender.probe("127.0.0.1:${engine.port}") { result, _ -> probeResult.complete(result) }
            }
            expectThat(probeResult.get(WAIT_S, TimeUnit.SECONDS)).isEqualTo(ProbeResult.Unanswered)
            expectThat(largestReport.get()).isLessThan(MAX_KEPT_BYTES)
        }
    }

    private companion object {
        const val WAIT_S = 5L
        const val CLOSE_LIMIT_MS = 2_000L
        const val LONG_REPORT_BYTES = 256 * 1024

        /** The limit and one buffer. */
        const val MAX_KEPT_BYTES = 64 * 1024
    }
}
