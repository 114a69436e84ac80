package org.bramleyspur.testbed.otlp

import com.google.protobuf.ByteString
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest
import io.opentelemetry.proto.common.v1.AnyValue
import io.opentelemetry.proto.common.v1.KeyValue
import io.opentelemetry.proto.trace.v1.ResourceSpans
import io.opentelemetry.proto.trace.v1.ScopeSpans
import io.opentelemetry.proto.trace.v1.Span
import org.bramleyspur.testbed.anyPort
import org.bramleyspur.testbed.call
import org.bramleyspur.testbed.client
import org.bramleyspur.testbed.http.testbedJson
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.zip.GZIPOutputStream

class OtlpServerTest {
    /** Guards against lost spans or parent ids, which would hide a hop that does not export spans. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `received spans are listed`(gzipped: Boolean) {
        OtlpServer(anyPort()).use { server ->
            expectThat(post(server.port, export(), gzipped)).isEqualTo(200)
            val spans = testbedJson.decodeFromString<List<SpanReport>>(call(server.port, "/spans").body())
            expectThat(spans).isEqualTo(
                listOf(SpanReport("queue", "", "0a0b", "01", "02", 5, 9, mapOf("account" to "a", "tokens" to "3"))),
            )
        }
    }

    /** Guards against treating a body of another format as an empty export. */
    @Test
    fun `a body that is not an export request is refused`() {
        OtlpServer(anyPort()).use { server ->
            expectThat(post(server.port, "not protobuf".toByteArray(), gzipped = false)).isEqualTo(400)
        }
    }

    private fun export(): ByteArray {
        val span =
            Span.newBuilder()
                .setName("queue")
                .setTraceId(ByteString.copyFrom(byteArrayOf(10, 11)))
                .setSpanId(ByteString.copyFrom(byteArrayOf(1)))
                .setParentSpanId(ByteString.copyFrom(byteArrayOf(2)))
                .setStartTimeUnixNano(5)
                .setEndTimeUnixNano(9)
                .addAttributes(attribute("account", AnyValue.newBuilder().setStringValue("a")))
                .addAttributes(attribute("tokens", AnyValue.newBuilder().setIntValue(3)))
        val scope = ScopeSpans.newBuilder().addSpans(span)
        val resource = ResourceSpans.newBuilder().addScopeSpans(scope)
        return ExportTraceServiceRequest.newBuilder().addResourceSpans(resource).build().toByteArray()
    }

    private fun attribute(key: String, value: AnyValue.Builder) = KeyValue.newBuilder().setKey(key).setValue(value)

    private fun post(port: Int, body: ByteArray, gzipped: Boolean): Int {
        val bytes = ByteArrayOutputStream()
        if (gzipped) GZIPOutputStream(bytes).use { it.write(body) } else bytes.write(body)
        val request =
            HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/traces"))
                .POST(HttpRequest.BodyPublishers.ofByteArray(bytes.toByteArray()))
        if (gzipped) request.header("Content-Encoding", "gzip")
        return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode()
    }
}
