package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Route
import org.bramleyspur.protocol.Start
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.stream.RequestFacts
import org.bramleyspur.traffic.stream.StartAttempt

/**
 * How a caller's request is executed.
 *
 * @property query what a route is wanted for in an attempt
 * @property start message of an attempt on a route
 * @property digest digest of method, path and body
 * @property upload body that follows the start message, null when the start message has it all
 */
internal class CallPlan(
    val facts: RequestFacts,
    val query: (StartAttempt) -> RoutingRequest,
    val start: (StartAttempt, Route) -> Start.Builder,
    val digest: () -> String,
    val upload: BodyUpload?,
)

/** A request in progress. */
internal interface RunningCall {
    /** The caller has left. */
    fun callerGone()

    /** The caller's connection takes more data. */
    fun resume()
}

/** A request that runs without a claim. */
internal class DirectCall(plan: CallPlan, entry: EntryServices, scope: RequestScope, sink: AnswerSink) : RunningCall {
    private val job = RequestJob(
        id = scope.id,
        facts = plan.facts,
        timeoutMs = scope.service.timeoutMs,
        account = scope.account.name,
        request = plan.query,
        choose = entry::chooseRoute,
        start = plan.start,
    )
    private val runner = RequestRunner(job, entry, sink, plan.upload)

    /** Starts the request. */
    fun run() = runner.run()

    override fun callerGone() = runner.callerGone()

    override fun resume() = runner.resume()
}

/** The best route for [request] as of now. */
internal fun EntryServices.chooseRoute(request: RoutingRequest): Route? = router.choose(request, timers.nowMs())
