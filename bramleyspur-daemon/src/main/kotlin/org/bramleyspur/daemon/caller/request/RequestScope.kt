package org.bramleyspur.daemon.caller.request

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.telemetry.HopSpan
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
    private val limiter: AccountLimiter,
    private val span: HopSpan,
) {
    private val admittedMs = entry.timers.nowMs()
    private var firstTokenSeen = false
    private var ended = false

    /** Trace context for the next hop. */
    val traceparent: String get() = span.traceparent

    init {
        limiter.enter(account)
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
        is Refuse -> end(ending.kind.wire, ending.message)
        is FailStream -> end(ending.kind.wire, ending.message)
        is Abandon -> end("abandoned", "the caller left")
    }

    /** Releases everything that the request holds; [outcome] is the label of its metric. */
    fun end(outcome: String, message: String) {
        if (ended) return
        ended = true
        limiter.leave(account)
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

/** Concurrent requests of each account at this entry; used by the traffic thread only. */
class AccountLimiter {
    private val running = HashMap<String, Int>()
    private val refused = HashMap<String, Int>()

    /** Requests in progress of all accounts; may be read by any thread. */
    @Volatile
    var total = 0
        private set

    /** Whether [account] may start another request when this entry's share of its limit is [share]. */
    fun allows(account: Account, share: Int?): Boolean {
        if (account.maxConcurrent == 0) return true
        val allowed = (running[account.name] ?: 0) < (share ?: 0)
        if (!allowed) refused.merge(account.name, 1, Int::plus)
        return allowed
    }

    /** Demand of each account since the last call: requests in progress and refused requests. */
    fun takeDemand(): Map<String, AccountLoad> {
        val names = running.keys + refused.keys
        val demand = names.associateWith { AccountLoad(running[it] ?: 0, refused[it] ?: 0) }
        refused.clear()
        running.values.removeIf { it == 0 }
        return demand
    }

    internal fun enter(account: Account) {
        running.merge(account.name, 1, Int::plus)
        total += 1
    }

    internal fun leave(account: Account) {
        running.merge(account.name, -1, Int::plus)
        total -= 1
    }
}

/** Demand of one account at one entry. */
data class AccountLoad(val running: Int, val refused: Int)
