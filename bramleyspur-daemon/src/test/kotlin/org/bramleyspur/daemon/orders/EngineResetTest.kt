package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Ok
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.FakeCall
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against a reset connection between control and an engine that passes for the result of an order, or for the
 * end of the engine, either of which would lose its group.
 */
class EngineResetTest {
    private val loops = EventLoops()
    private val report = EngineReport(startedOrders = 3, group = null)
    private val dialect = EngineDialect({ OrderRequest("/order", emptyMap(), BODY) }, "/state") { Ok(report) }
    private val sender = OrderSender(loops.controlGroup, loops.controlTimers, dialect)

    @AfterEach
    fun close() = loops.close()

    /** [sent] is what the engine has sent when its connection is reset. */
    private class Case(val name: String, val readsBody: Boolean, val sent: String)

    private val cases = listOf(
        Case("before the body is read", readsBody = false, ""),
        Case("before the response", readsBody = true, ""),
        Case("in the status line", readsBody = true, "HTTP/1.1 20"),
        Case("in the headers", readsBody = true, "HTTP/1.1 200 OK\r\nContent-Le"),
        Case("after the head", readsBody = true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"),
        Case("in the body", readsBody = true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{"),
        Case("in a body without a length", readsBody = true, "HTTP/1.1 200 OK\r\n\r\n{}"),
    )

    private fun FakeCall.breakOff(case: Case) {
        if (case.readsBody) bodyText()
        write(case.sent)
        Thread.sleep(ARRIVAL_MS)
        reset()
    }

    @TestFactory
    fun `a reset is no result of an order, and the next order has its own`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val requests = AtomicInteger()
            val engine = FakeBackend {
                if (requests.incrementAndGet() == 1) {
                    breakOff(case)
                } else {
                    bodyText()
                    reply(ACCEPTED, "")
                }
            }
            engine.use {
                expectThat(List(2) { order(engine) }).isEqualTo(listOf(OrderResult.UNANSWERED, OrderResult.ACCEPTED))
                expectThat(requests.get()).isEqualTo(2)
            }
        }
    }

    @TestFactory
    fun `a reset of a probe is no sign that the engine has ended`() = cases.filter { it.readsBody }.map { case ->
        DynamicTest.dynamicTest(case.name) {
            FakeBackend { breakOff(case) }.use { engine ->
                val result = CompletableFuture<ProbeResult>()
                loops.control.execute { sender.probe(addressOf(engine)) { outcome, _ -> result.complete(outcome) } }
                expectThat(result.get(WAIT_S, TimeUnit.SECONDS)).isEqualTo(ProbeResult.Unanswered)
            }
        }
    }

    private fun order(engine: FakeBackend): OrderResult {
        val result = CompletableFuture<OrderResult>()
        val order = EngineOrder("e", addressOf(engine), 1, EngineCommand.Stage("m"))
        loops.control.execute { sender.send(order) { outcome, _ -> result.complete(outcome) } }
        return result.get(WAIT_S, TimeUnit.SECONDS)
    }

    private fun addressOf(engine: FakeBackend) = "127.0.0.1:${engine.port}"

    private companion object {
        val BODY = "{}".encodeToByteArray()
        const val ACCEPTED = 202

        /** Time in which what was sent reaches the caller; a reset discards what is still on its way. */
        const val ARRIVAL_MS = 20L
        const val WAIT_S = 5L
    }
}
