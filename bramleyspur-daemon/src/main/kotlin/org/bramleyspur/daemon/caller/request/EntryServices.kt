package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.telemetry.Tracing
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.agent.AgentClient
import org.bramleyspur.traffic.retry.RetryBudgets
import org.bramleyspur.traffic.routing.Router

/**
 * What the requests of an entry share; used by the traffic thread only.
 *
 * @property incarnation identity of this entry's run
 * @property view the latest snapshot of configuration and routes
 */
class EntryServices(
    val incarnation: Incarnation,
    val timers: TimerService,
    val agents: AgentClient,
    val router: Router,
    val tracing: Tracing,
    val metrics: EntryMetrics,
    val view: () -> EntryView,
) {
    /** Retry budgets of this entry. */
    val budgets = RetryBudgets()

    /** Time in milliseconds after which a request that found no route is worth sending again. */
    fun retryAfterMs(): Long = NO_ROUTE_RETRY_MS

    private companion object {
        const val NO_ROUTE_RETRY_MS = 1_000L
    }
}
