package org.bramleyspur.daemon.orders

import org.bramleyspur.control.group.EngineCommand
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.process.EventLoops
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val WAIT_S = 5L

/** Sends an order and a probe to [engine] at once; returns their results. */
internal fun OrderSender.orderAndProbe(engine: FakeBackend, loops: EventLoops): Pair<OrderResult, ProbeResult> {
    val address = "127.0.0.1:${engine.port}"
    val orderResult = CompletableFuture<OrderResult>()
    val probeResult = CompletableFuture<ProbeResult>()
    loops.control.execute {
        send(EngineOrder("e", address, 1, EngineCommand.Stage("m"))) { result, _ -> orderResult.complete(result) }
        probe(address) { result, _ -> probeResult.complete(result) }
    }
    return orderResult.get(WAIT_S, TimeUnit.SECONDS) to probeResult.get(WAIT_S, TimeUnit.SECONDS)
}
