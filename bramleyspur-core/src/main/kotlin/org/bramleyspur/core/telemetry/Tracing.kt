/*
 * Tracing with W3C trace context, exported over OTLP. Without an endpoint nothing is recorded, but the caller's trace
 * context is still propagated to the next hop.
 */
package org.bramleyspur.core.telemetry

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.TraceFlags
import io.opentelemetry.api.trace.TraceState
import io.opentelemetry.context.Context
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import java.util.concurrent.TimeUnit

/** Starts and exports the spans of one process. */
class Tracing private constructor(
    private val openTelemetry: OpenTelemetry?,
    private val provider: SdkTracerProvider?,
) {
    private val tracer = openTelemetry?.getTracer("org.bramleyspur")

    /** Starts a child span of [parent], a `traceparent` value that may be empty or malformed. */
    fun start(name: String, parent: String, kind: SpanKind = SpanKind.INTERNAL): HopSpan {
        val remote = parseTraceparent(parent)
        if (tracer == null) return HopSpan(null, parent)
        val builder = tracer.spanBuilder(name).setSpanKind(kind)
        if (remote == null) {
            builder.setNoParent()
        } else {
            builder.setParent(Context.root().with(Span.wrap(remote)))
        }
        val span = builder.startSpan()
        return HopSpan(span, formatTraceparent(span.spanContext))
    }

    /** Exports pending spans and stops, within [timeoutMs] milliseconds. */
    fun close(timeoutMs: Long) {
        provider?.shutdown()?.join(timeoutMs, TimeUnit.MILLISECONDS)
    }

    companion object {
        /** Tracing that records nothing. */
        fun disabled(): Tracing = Tracing(null, null)

        /** Tracing that exports to the OTLP/HTTP [endpoint], such as `http://127.0.0.1:4318/v1/traces`. */
        fun exporting(endpoint: String, role: String, instance: String): Tracing {
            val exporter = OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
            val resource =
                Resource
                    .builder()
                    .put("service.name", "bramleyspur-$role")
                    .put("service.instance.id", instance)
                    .build()
            val provider =
                SdkTracerProvider
                    .builder()
                    .setResource(resource)
                    .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                    .build()
            return Tracing(OpenTelemetrySdk.builder().setTracerProvider(provider).build(), provider)
        }
    }
}

/**
 * The span of one hop.
 *
 * @property traceparent value for the next hop's `traceparent`
 */
class HopSpan internal constructor(private val span: Span?, val traceparent: String) {
    /** Sets a string attribute. */
    fun attribute(name: String, value: String) {
        span?.setAttribute(AttributeKey.stringKey(name), value)
    }

    /** Ends the span as successful. */
    fun end() {
        span?.end()
    }

    /** Ends the span as failed. */
    fun fail(reason: String) {
        span?.setStatus(StatusCode.ERROR, reason)?.end()
    }
}

private const val TRACEPARENT_PARTS = 4
private const val TRACE_ID_LENGTH = 32
private const val SPAN_ID_LENGTH = 16

private fun parseTraceparent(text: String): SpanContext? {
    val parts = text.split('-')
    val wellFormed =
        parts.size >= TRACEPARENT_PARTS && parts[1].length == TRACE_ID_LENGTH && parts[2].length == SPAN_ID_LENGTH
    if (!wellFormed) return null
    val flags = if (parts[3].endsWith("1")) TraceFlags.getSampled() else TraceFlags.getDefault()
    val context = SpanContext.createFromRemoteParent(parts[1], parts[2], flags, TraceState.getDefault())
    return context.takeIf { it.isValid }
}

private fun formatTraceparent(context: SpanContext): String =
    "00-${context.traceId}-${context.spanId}-${context.traceFlags.asHex()}"
