package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Route
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.StartAttempt

/**
 * Everything that is needed to execute a caller's request.
 *
 * @property routingRequest builds the routing request of an attempt
 * @property startMessage builds the start message of an attempt on a route
 * @property digest computes the digest of method, path and body
 * @property upload body that follows the start message; null if the start message contains it
 */
internal class CallPlan(
    val facts: RequestFacts,
    val routingRequest: (StartAttempt) -> RoutingRequest,
    val startMessage: (StartAttempt, Route) -> Start.Builder,
    val digest: () -> String,
    val upload: BodyUpload?,
)

/** A request in progress. */
internal interface RunningCall {
    /** Called when the caller has closed its connection. */
    fun onCallerDisconnected()

    /** Called when the caller's connection is writable again. */
    fun resume()
}

/** A request that runs without a claim. */
internal class DirectCall(plan: CallPlan, entry: EntryServices, scope: RequestScope, sink: ResponseSink) : RunningCall {
    private val job = RequestJob(
        id = scope.id,
        facts = plan.facts,
        timeoutMs = scope.service.timeoutMs,
        account = scope.account.name,
        routingRequest = plan.routingRequest,
        chooseRoute = entry::chooseRoute,
        startMessage = plan.startMessage,
    )
    private val runner = RequestRunner(job, entry, sink, plan.upload)

    /** Starts the request. */
    fun run() = runner.run()

    override fun onCallerDisconnected() = runner.onCallerDisconnected()

    override fun resume() = runner.resume()
}

/** The best route for [request] at the current time; null if there is none. */
internal fun EntryServices.chooseRoute(request: RoutingRequest): Route? = router.choose(request, timers.nowMs())
