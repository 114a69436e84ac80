package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.control.demand.DemandCounts
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec
import org.bramleyspur.protocol.ModelDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against demand that is not counted since it is refused, and against counts that a caller inflates. */
class DemandCountersTest : ForwardTest() {
    private val withModel: Document = document.copy(
        services = document.services.mapValues { (_, service) ->
            service.copy(
                costs = EngineCosts(34, KV_TOKENS, 3, 6.0, 0.34, 0.007, 46.0, 2_048, 3.0, 6, 2.5, 85.0),
                models = persistentListOf(ModelSpec("m", 1, 1.0, 1.0, 16_000, 1_600)),
            )
        }.toPersistentMap(),
    )

    private fun DemandCounters.counts(document: Document = withModel) = toMessages(document).associate {
        it.model to DemandCounts(it.requests, it.refused, it.promptTokens, it.outputTokens)
    }

    private class Case(val name: String, val headers: String, val counts: Map<String, DemandCounts>)

    private val cases = listOf(
        Case("a refused request", "X-Model: m\r\nX-Tokens: 100,10\r\n", mapOf("m" to DemandCounts(1, 1, 100, 10))),
        Case("more tokens than fit", "X-Model: m\r\nX-Tokens: 9000,8000\r\n", mapOf("m" to FULL)),
        Case("an unknown model", "X-Model: x\r\nX-Tokens: 100,10\r\n", emptyMap()),
        Case("no model", "X-Tokens: 100,10\r\n", emptyMap()),
    )

    @TestFactory
    fun `requests are counted by the models of the service`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val counters = DemandCounters()
            apply(withModel, emptyList())
            context.demand = counters
            expectThat(post("/stream/1", case.headers, remainingMs = 200)?.status).isEqualTo(503)
            expectThat(counters.counts()).isEqualTo(case.counts)
        }
    }

    @Test
    fun `models that the configuration drops are forgotten`() {
        val counters = DemandCounters()
        counters.onRequest(withModel.services.getValue("s"), "m", TokenCounts(1, 1))
        expectThat(counters.toMessages(document)).isEmpty()
        expectThat(counters.toMessages(withModel)).isEqualTo(emptyList<ModelDemand>())
    }

    private companion object {
        const val KV_TOKENS = 5_000L
        val FULL = DemandCounts(1, 1, KV_TOKENS, KV_TOKENS)
    }
}
