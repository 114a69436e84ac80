package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Err
import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a late or repeated response to an order that passes for the result of the next one. */
class OrderSenderTest {
    private val loops = EventLoops()
    private val dialect = EngineDialect(
        encodeOrder = { OrderRequest("/order", emptyMap(), "{}".encodeToByteArray()) },
        statePath = "/state",
        decodeReport = { Err("no report") },
    )
    private val sender = OrderSender(loops.controlGroup, loops.controlTimers, dialect)

    @AfterEach
    fun close() = loops.close()

    private fun order(server: FakeBackend) = EngineOrder("e", "127.0.0.1:${server.port}", 1, EngineCommand.Stage("m"))

    private fun response(status: Int) = "HTTP/1.1 $status Status\r\nContent-Length: 0\r\n\r\n"

    private class Case(val name: String, val afterFirst: String, val atSecond: String, val status: Int)

    /** Status of the repeated response; the engine refuses both orders. */
    private val cases = listOf(200, 202, 421).flatMap { status ->
        listOf(
            Case("$status in the packet of the first response", response(status), "", status),
            Case("$status when the next order arrives", "", response(status), status),
        )
    }

    @TestFactory
    fun `a repeated response is not the result of the next order`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val orders = AtomicInteger()
            lateinit var server: FakeBackend
            server = FakeBackend {
                bodyText()
                val first = orders.incrementAndGet() == 1
                if (!first && server.connections == 1) write(case.atSecond)
                if (!first) Thread.sleep(PAUSE_MS)
                write(response(REFUSED) + if (first) case.afterFirst else "")
            }
            val results = CompletableFuture<List<OrderResult>>()
            loops.control.execute {
                // The planner sends its next order as soon as it has the result of the one before.
                sender.send(order(server)) { first, _ ->
                    sender.send(order(server)) { second, _ -> results.complete(listOf(first, second)) }
                }
            }
            expectThat(results.get(WAIT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo(listOf(OrderResult.REFUSED, OrderResult.REFUSED))
            server.close()
        }
    }

    private companion object {
        const val REFUSED = 409
        const val PAUSE_MS = 100L
        const val WAIT_SECONDS = 5L
    }
}
