package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Ok
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.http.MALFORMED_HEADS
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a malformed response of an engine that control takes for the result of an order or a probe. */
class MalformedEngineResponseTest {
    private val loops = EventLoops()
    private val dialect = EngineDialect(
        encodeOrder = { OrderRequest("/order", emptyMap(), "{}".encodeToByteArray()) },
        statePath = "/state",
        decodeReport = { Ok(EngineReport(startedOrders = 1, group = null)) },
    )
    private val sender = OrderSender(loops.controlGroup, loops.controlTimers, dialect)

    @AfterEach
    fun close() = loops.close()

    @TestFactory
    fun `a malformed head is no result`() = MALFORMED_HEADS.map { head ->
        DynamicTest.dynamicTest(head.name) {
            val server = FakeBackend {
                bodyText()
                write(head.response("{}"))
            }
            server.use { engine ->
                expectThat(sender.orderAndProbe(engine, loops))
                    .isEqualTo(OrderResult.UNANSWERED to ProbeResult.Unanswered)
            }
        }
    }
}
