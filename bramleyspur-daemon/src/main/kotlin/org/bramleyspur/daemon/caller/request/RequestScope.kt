package org.bramleyspur.daemon.caller.request

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.telemetry.HopSpan
import org.bramleyspur.traffic.routing.AccountLimits
import org.bramleyspur.traffic.stream.Abandon
import org.bramleyspur.traffic.stream.FailStream
import org.bramleyspur.traffic.stream.Finish
import org.bramleyspur.traffic.stream.Refuse
import org.bramleyspur.traffic.stream.RequestEnding

private val logger = KotlinLogging.logger {}

/** What accompanies one admitted request until it ends: its place in the account's limit, metrics, span and log. */
class RequestScope internal constructor(
    val id: RequestId,
    val account: Account,
    val service: Service,
    private val entry: EntryServices,
    private val limits: AccountLimits,
    private val span: HopSpan,
) {
    private val admittedMs = entry.timers.nowMs()
    private var firstTokenSeen = false
    private var ended = false

    /** Trace context for the next hop. */
    val traceparent: String get() = span.traceparent

    init {
        entry.metrics.inFlight.labelValues(service.name).inc()
    }

    /** Counts a delivered token. */
    fun onToken() {
        entry.metrics.tokens.labelValues(service.name).inc()
        if (firstTokenSeen) return
        firstTokenSeen = true
        val seconds = (entry.timers.nowMs() - admittedMs) / MS_PER_SECOND
        entry.metrics.firstToken.labelValues(service.name).observe(seconds)
    }

    /** Releases everything that the request holds. */
    fun end(ending: RequestEnding) = when (ending) {
        is Finish -> end("answered", "")
        is Refuse -> end(ending.kind.wireName, ending.message)
        is FailStream -> end(ending.kind.wireName, ending.message)
        is Abandon -> end("abandoned", "the caller left")
    }

    /** Releases everything that the request holds; [outcome] is the label of its metric. */
    fun end(outcome: String, message: String) {
        if (ended) return
        ended = true
        limits.leave(account.name)
        entry.metrics.inFlight.labelValues(service.name).dec()
        entry.metrics.requests.labelValues(service.name, outcome).inc()
        span.attribute("bramleyspur.outcome", outcome)
        if (message.isEmpty()) span.end() else span.fail(message)
        logger.atDebug {
            this.message = "request ended"
            payload = mapOf("request" to id.value, "service" to service.name, "outcome" to outcome, "cause" to message)
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
