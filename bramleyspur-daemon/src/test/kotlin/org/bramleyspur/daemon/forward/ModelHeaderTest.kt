package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against streams of a service without models that are refused because their caller names a model. */
class ModelHeaderTest : ForwardTest() {
    private val events = Script(streamResponse("id: 1\ndata: a\n\n", complete = true))

    @TestFactory
    fun `streams of a service without models are served`() =
        listOf("" to "no model", "X-Model: m\r\n" to "a model").map { (header, name) ->
            DynamicTest.dynamicTest(name) {
                startBackends(listOf(events))
                expectThat(post("/stream/1", header)?.status).isEqualTo(200)
            }
        }
}
