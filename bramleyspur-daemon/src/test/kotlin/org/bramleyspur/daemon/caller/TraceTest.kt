package org.bramleyspur.daemon.caller

import com.google.protobuf.ByteString
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest
import io.opentelemetry.proto.trace.v1.Span
import org.bramleyspur.core.telemetry.Tracing
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.HexFormat
import java.util.concurrent.CopyOnWriteArrayList
import java.util.zip.GZIPInputStream

/** Guards against hops without a span and spans with a wrong parent. */
class TraceTest {
    private val spans = CopyOnWriteArrayList<Span>()
    private val receiver = FakeBackend {
        val bytes = ByteArrayOutputStream()
        readBody { data, length -> bytes.write(data, 0, length) }
        val isCompressed = header("content-encoding") == "gzip"
        val decoded = bytes.toByteArray().let { if (isCompressed) decompress(it) else it }
        ExportTraceServiceRequest.parseFrom(decoded).resourceSpansList
            .flatMap { it.scopeSpansList }
            .forEach { spans += it.spansList }
        reply(200, "")
    }

    private class Case(val name: String, val bytes: String)

    private val cases = listOf(
        Case("generation", request("POST /v1/completions", """{"model":"m","prompt":"a"}""", TRACEPARENT)),
        Case("plain call", request("POST /p/x", "a", TRACEPARENT)),
    )

    @TestFactory
    fun `each hop of a request has a span below the one before`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            spans.clear()
            val engine = fakeEngine(EnginePlan(tokens = 3))
            val plain = FakeBackend {
                readBody()
                reply(200, "ok")
            }
            val entry = tracing("entry")
            val agent = tracing("agent")
            TrafficTestBed(
                listOf(engine.port),
                listOf(plain.port),
                entryTracing = entry,
                agentTracing = agent,
            ).use { testBed ->
                RawClient(testBed.port).use { client ->
                    client.send(case.bytes)
                    expectThat(client.read()!!.status).isEqualTo(200)
                }
                awaitTrue(1_000, "the end of the attempt") {
                    testBed.running(0) + testBed.running(1) + testBed.inProgress == 0
                }
            }
            entry.close(5_000)
            agent.close(5_000)
            expectThat(spansWithParents()).containsExactlyInAnyOrder(
                "entry below caller",
                "agent below entry",
                "queue below agent",
                "backend server below agent",
            )
            expectThat(spans.map { hex(it.traceId) }.distinct()).isEqualTo(listOf(TRACE_ID))
            val sent = (engine.requestHeads + plain.requestHeads).map { headerOf(it, "traceparent") }
            val backendSpan = spans.first { it.name == "backend server" }
            expectThat(sent).contains("00-$TRACE_ID-${hex(backendSpan.spanId)}-01")
            engine.close()
            plain.close()
        }
    }

    private fun tracing(role: String) = Tracing.exporting("http://$HOST:${receiver.port}/v1/traces", role, "$role-1")

    private fun spansWithParents(): List<String> {
        val names = spans.associate { it.spanId to it.name } + (ByteString.fromHex(CALLER_SPAN) to "caller")
        return spans.map { "${it.name} below ${names[it.parentSpanId]}" }
    }

    private fun decompress(bytes: ByteArray) = GZIPInputStream(ByteArrayInputStream(bytes)).readAllBytes()

    private fun hex(bytes: ByteString) = HexFormat.of().formatHex(bytes.toByteArray())

    private companion object {
        const val TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
        const val CALLER_SPAN = "b7ad6b7169203331"
        const val TRACEPARENT = "traceparent: 00-$TRACE_ID-$CALLER_SPAN-01\r\n"
    }
}
