/*
 * The spans of an OTLP export request in the format in which the receiver lists them.
 */
package org.bramleyspur.testbed.otlp

import com.google.protobuf.ByteString
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest
import io.opentelemetry.proto.common.v1.AnyValue
import io.opentelemetry.proto.common.v1.KeyValue
import io.opentelemetry.proto.trace.v1.Span
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.HexFormat

/** One received span; ids are hexadecimal, [parentId] is empty for a root span, times are Unix nanoseconds. */
@Serializable
internal data class SpanReport(
    val name: String,
    val service: String,
    @SerialName("trace_id") val traceId: String,
    @SerialName("span_id") val spanId: String,
    @SerialName("parent_id") val parentId: String,
    @SerialName("start_unix_nanos") val startUnixNanos: Long,
    @SerialName("end_unix_nanos") val endUnixNanos: Long,
    val attributes: Map<String, String>,
)

/** Returns the spans of one export request. */
internal fun spansOf(request: ExportTraceServiceRequest): List<SpanReport> =
    request.resourceSpansList.flatMap { resource ->
        val service = attributes(resource.resource.attributesList)["service.name"].orEmpty()
        resource.scopeSpansList.flatMap { scope -> scope.spansList.map { report(it, service) } }
    }

private fun report(span: Span, service: String) = SpanReport(
    name = span.name,
    service = service,
    traceId = hex(span.traceId),
    spanId = hex(span.spanId),
    parentId = hex(span.parentSpanId),
    startUnixNanos = span.startTimeUnixNano,
    endUnixNanos = span.endTimeUnixNano,
    attributes = attributes(span.attributesList),
)

private fun hex(bytes: ByteString): String = HexFormat.of().formatHex(bytes.toByteArray())

private fun attributes(list: List<KeyValue>): Map<String, String> = list.associate { it.key to text(it.value) }

private fun text(value: AnyValue): String = when (value.valueCase) {
    AnyValue.ValueCase.STRING_VALUE -> value.stringValue
    AnyValue.ValueCase.INT_VALUE -> value.intValue.toString()
    AnyValue.ValueCase.BOOL_VALUE -> value.boolValue.toString()
    AnyValue.ValueCase.DOUBLE_VALUE -> value.doubleValue.toString()
    else -> value.toString()
}
