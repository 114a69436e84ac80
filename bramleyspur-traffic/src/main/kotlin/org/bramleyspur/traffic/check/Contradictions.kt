/*
 * Limits of a document that cannot all be kept. Times of engines are those that entries predict for an idle one
 * without a network in between.
 */
package org.bramleyspur.traffic.check

import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.traffic.forward.Candidate
import org.bramleyspur.traffic.forward.firstEventMs
import org.bramleyspur.traffic.forward.stepMs
import java.util.Locale

internal val DocumentRoute.streams: Boolean get() = kind == RouteKind.STREAMING

internal fun Document.contradictions(facts: DeploymentFacts): List<String> =
    routes.flatMap { limitsOf(it) + engineLimitsOf(it) + listOfNotNull(attemptLimitOf(it, facts)) } +
        services.values.flatMap { limitsOf(it) } +
        listOfNotNull("the limit of 0 bytes refuses every body; give 1 or more".takeIf { limits.maxBodyBytes == 0 })

private fun limitsOf(route: DocumentRoute): List<String> = with(route) {
    val interval = targetEventIntervalMs ?: 0
    listOfNotNull(
        "the target latency of route '$name' ($targetLatencyMs ms) is above its timeout ($timeoutMs ms); lower it"
            .takeIf { targetLatencyMs > timeoutMs },
        "the target interval of events of route '$name' ($interval ms) is above its timeout ($timeoutMs ms); lower it"
            .takeIf { streams && interval > timeoutMs },
    )
}

/** Limits of a stream that an idle engine of its service is predicted to miss, whichever model is asked for. */
private fun Document.engineLimitsOf(route: DocumentRoute): List<String> = route.targets
    .takeIf { route.streams }.orEmpty()
    .filter { it.weight > 0 }
    .mapNotNull { services[it.service] }
    .flatMap { service ->
        val costs = service.costs ?: return@flatMap emptyList()
        val idle = service.models.map { idle(it, costs) }.ifEmpty { listOf(idle(timeFactor = 1.0, costs.slots)) }
        val firstMs = idle.minOf { firstEventMs(it, promptTokens = 1, costs) }
        // An engine sends the tokens of a pass in one event.
        val intervalMs = idle.minOf { it.timeFactor * costs.stepsPerPass * stepMs(it, costs) }
        listOfNotNull(
            below("timeout", route, route.timeoutMs, "first event", firstMs, service),
            below("target latency", route, route.targetLatencyMs, "first event", firstMs, service),
            route.targetEventIntervalMs?.let {
                below("target interval of events", route, it, "next event", intervalMs, service)
            },
        )
    }

private fun idle(model: ModelSpec, costs: EngineCosts) = idle(model.timeFactor, costs.slots)

private fun idle(timeFactor: Double, slots: Int) = Candidate(
    id = "",
    running = 0,
    slots = slots,
    pendingPrefillTokens = 0,
    contextTokens = 0,
    timeFactor = timeFactor,
    roundTripMs = 0.0,
    suspect = false,
)

private fun below(
    limit: String,
    route: DocumentRoute,
    limitMs: Long,
    event: String,
    predictedMs: Double,
    service: DocumentService,
): String? {
    if (limitMs >= predictedMs) return null
    val predicted = "%.1f".format(Locale.ROOT, predictedMs)
    return "the $limit of route '${route.name}' ($limitMs ms) is below the $predicted ms that are predicted for the " +
        "$event of an idle engine of service '${service.name}'; raise it"
}

/** More attempts than backend servers, or for models than groups of the smallest size, cannot be made. */
private fun Document.attemptLimitOf(route: DocumentRoute, facts: DeploymentFacts): String? {
    val pools = route.targets.filter { it.weight > 0 }.map { target ->
        val servers = facts.servers[target.service] ?: return null
        servers / (services[target.service]?.models?.minOfOrNull { it.groupSize } ?: 1)
    }
    val largest = pools.maxOrNull()?.takeIf { it < route.maxAttempts } ?: return null
    return "route '${route.name}' allows ${route.maxAttempts} attempts, and its services have at most $largest " +
        "backend servers or groups for a request; lower the attempts or add servers"
}

private fun limitsOf(service: DocumentService): List<String> =
    listOfNotNull(coldLimitOf(service), cacheLimitOf(service)) +
        service.models.filter { it.stagedLoadMs > it.loadMs }.map {
            "model '${it.name}' of service '${service.name}' loads slower from its host (${it.stagedLoadMs} ms) than " +
                "from the weight store (${it.loadMs} ms); correct one of them"
        }

private fun coldLimitOf(service: DocumentService): String? = with(service) {
    if (coldStartMs <= 0 || coldRequestsPerSecond > 0) return null
    "backend servers of service '$name' are cold for $coldStartMs ms, but the rate of requests to cold ones is 0, " +
        "which means no bound; give a rate or leave the time out"
}

private fun cacheLimitOf(service: DocumentService): String? {
    val costs = service.costs ?: return null
    if (costs.kvCacheTokens !in 1..<costs.meanResponseTokens.toLong()) return null
    return "a mean response of service '${service.name}' (${costs.meanResponseTokens} tokens) is larger than the " +
        "cache of a group (${costs.kvCacheTokens} tokens); correct one of them"
}
