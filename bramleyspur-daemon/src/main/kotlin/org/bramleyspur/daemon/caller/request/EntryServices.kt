package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.telemetry.Tracing
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.agent.AgentClient
import org.bramleyspur.traffic.retry.RetryBudgets
import org.bramleyspur.traffic.routing.Router

/**
 * Components shared by all requests of an entry; used by the traffic thread only.
 *
 * @property incarnation incarnation of the entry process, which agents use to tell entries apart
 * @property snapshot returns the latest snapshot of configuration and routes
 */
class EntryServices(
    val incarnation: Incarnation,
    val timers: TimerService,
    val agents: AgentClient,
    val router: Router,
    val tracing: Tracing,
    val metrics: EntryMetrics,
    val snapshot: () -> DeploymentSnapshot,
) {
    /** Retry budgets of the client accounts at this entry. */
    val budgets = RetryBudgets()

    /** Delay in milliseconds before the retry of a request for which no route was found. */
    fun retryAfterMs(): Long = NO_ROUTE_RETRY_MS

    private companion object {
        const val NO_ROUTE_RETRY_MS = 1_000L
    }
}
