package org.bramleyspur.daemon.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Prometheus metrics of the requests that an entry forwards. */
internal class ForwardMetrics(registry: PrometheusRegistry) {
    private val requests = Counter.builder()
        .name("bramleyspur_requests_total")
        .help("Requests by route and outcome.")
        .labelNames("route", "outcome")
        .register(registry)
    private val firstByteSeconds = Histogram.builder()
        .name("bramleyspur_first_byte_seconds")
        .help("Time to the first byte of an answer by route.")
        .labelNames("route")
        .classicUpperBounds(0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
        .classicOnly()
        .register(registry)
    private val retries = Counter.builder()
        .name("bramleyspur_second_sends_total")
        .help("Sends to a second backend server by service.")
        .labelNames("service")
        .register(registry)

    private val partBlocked = Counter.builder()
        .name("bramleyspur_prompt_part_refusals_total")
        .help(
            "Requests kept from engines because of a part of their prompt, by route and whether sent before.",
        )
        .labelNames("route", "sent")
        .register(registry)

    private val backendsResumed = Counter.builder()
        .name("bramleyspur_backends_resumed_total")
        .help("Backend servers that sent data again after they had been found unresponsive.")
        .register(registry)

    private val attemptsBeside = Counter.builder()
        .name("bramleyspur_attempts_beside_silent_total")
        .help("Attempts sent while the running ones were silent, by service.")
        .labelNames("service")
        .register(registry)
    private val takeOvers = Counter.builder()
        .name("bramleyspur_attempt_takeovers_total")
        .help("Attempts that delivered something new before the others, which were cancelled, by service.")
        .labelNames("service")
        .register(registry)
    private val faults = Counter.builder()
        .name("bramleyspur_request_faults_total")
        .help("Exceptions thrown while a request was handled, by its progress.")
        .labelNames("progress")
        .register(registry)
    private val unanswered = Counter.builder()
        .name("bramleyspur_unanswered_requests_total")
        .help("Connections closed by the entry on which a request had no complete response, by its progress.")
        .labelNames("progress")
        .register(registry)
    private val waits = Counter.builder()
        .name("bramleyspur_requests_waited_total")
        .help("Requests that waited in a short outage, by route (empty before the first configuration) and reason.")
        .labelNames("route", "reason")
        .register(registry)
    private val pressureRefusals = Counter.builder()
        .name("bramleyspur_pressure_refusals_total")
        .help("Requests refused by admission under pressure, by route and reason.")
        .labelNames("route", "reason")
        .register(registry)
    private val floorStarts = Counter.builder()
        .name("bramleyspur_pressure_floor_starts_total")
        .help("Requests sent under pressure since their like were served much less often than others, by route.")
        .labelNames("route")
        .register(registry)
    private val waitingRequests = Gauge.builder()
        .name("bramleyspur_waiting_requests")
        .help("Requests that wait at the entry for room or for a backend server.")
        .register(registry)
    private val waitingBytes = Gauge.builder()
        .name("bramleyspur_waiting_bytes")
        .help("Bytes of the bodies of the requests that wait at the entry.")
        .register(registry)
    private val backoffs = Counter.builder()
        .name("bramleyspur_backend_backoffs_total")
        .help("Backend servers that asked for no more requests, by reason.")
        .labelNames("reason")
        .register(registry)
    private val unattributed = Counter.builder()
        .name("bramleyspur_unattributed_responses_total")
        .help("Responses on kept connections that named no request, by service; each one ended its attempt.")
        .labelNames("service")
        .register(registry)

    private val evacuatedRefusals = Counter.builder()
        .name("bramleyspur_evacuation_refusals_total")
        .help("Requests refused because all their backend servers are in evacuated data centres, by route.")
        .labelNames("route")
        .register(registry)
    private val evacuatedDataCentres = Gauge.builder()
        .name("bramleyspur_evacuated_data_centres")
        .help("Data centres to which this entry sends nothing since they are evacuated.")
        .register(registry)

    private val coldHeld = Counter.builder()
        .name("bramleyspur_cold_held_requests_total")
        .help("Requests held back from cold backend servers, by route, reason and whether they waited or were refused.")
        .labelNames("route", "reason", "outcome")
        .register(registry)

    /** Records a request that waits or is refused since all backend servers are cold and take no more. */
    fun onColdHeld(route: String, reason: String, waits: Boolean) =
        coldHeld.labelValues(route, reason, if (waits) "waited" else "refused").inc()

    private val sharedLoadAge = Gauge.builder()
        .name("bramleyspur_shared_load_age_seconds")
        .help("Age of what the leader told of the work of other entries; -1 before the first time.")
        .register(registry)
    private val loadSpread = Gauge.builder()
        .name("bramleyspur_load_spread")
        .help("Most requests at an engine over the mean, as this entry sees the work of all entries, by model.")
        .labelNames("model")
        .register(registry)

    /** Records the age in milliseconds of what is known of other entries' work; null if nothing is. */
    fun onSharedLoadAge(ageMs: Long?) = sharedLoadAge.set(ageMs?.let { it / MS_PER_SECOND } ?: -1.0)

    /** Records the largest number of requests at an engine of [model] over the mean number. */
    fun onLoadSpread(model: String, spread: Double) = loadSpread.labelValues(model).set(spread)

    /** Records a request all of whose backend servers are in evacuated data centres. */
    fun onEvacuated(route: String) = evacuatedRefusals.labelValues(route).inc()

    /** Records the number of evacuated data centres. */
    fun onEvacuations(count: Int) = evacuatedDataCentres.set(count.toDouble())

    private val heldBytes = Gauge.builder()
        .name("bramleyspur_held_bytes")
        .help("Bytes held for callers, by what they belong to.")
        .labelNames("part")
        .register(registry)
    private val stalledCallers = Counter.builder()
        .name("bramleyspur_stalled_callers_total")
        .help("Responses that were broken off since their callers took nothing for too long, by route.")
        .labelNames("route")
        .register(registry)

    /** Records what is held for callers, in bytes. */
    fun onHeldBytes(bodies: Long, responses: Long) {
        heldBytes.labelValues("bodies").set(bodies.toDouble())
        heldBytes.labelValues("responses").set(responses.toDouble())
    }

    /** Records a response that was broken off since its caller took nothing for too long. */
    fun onStalledCaller(route: String) = stalledCallers.labelValues(route).inc()

    fun onRequestEnd(route: String, outcome: String) = requests.labelValues(route, outcome).inc()

    /** Records the time from the receipt of a request to the first byte of its response. */
    fun onFirstByte(route: String, latencyMs: Long) =
        firstByteSeconds.labelValues(route).observe(latencyMs / MS_PER_SECOND)

    /** Records a request that was kept from engines because of a part of its prompt, or not sent to a second one. */
    fun onPartBlocked(route: String, sentBefore: Boolean) =
        partBlocked.labelValues(route, if (sentBefore) "once" else "never").inc()

    /** Records a request that waits for a backend server, or for the first configuration. */
    fun onWait(route: String, reason: String) = waits.labelValues(route, reason).inc()

    /** Records a request that was refused by admission under pressure. */
    fun onPressureRefusal(route: String, reason: String) = pressureRefusals.labelValues(route, reason).inc()

    /** Records a request that was sent under pressure since its like were served much less often than others. */
    fun onFloorStart(route: String) = floorStarts.labelValues(route).inc()

    /** Records the number and the bytes of the requests that wait at the entry. */
    fun onWaiting(count: Int, bytes: Long) {
        waitingRequests.set(count.toDouble())
        waitingBytes.set(bytes.toDouble())
    }

    /** Records a backend server that asked for no more requests, for good or for a time. */
    fun onBackoff(reason: String) = backoffs.labelValues(reason).inc()

    /** Records an exception that was thrown while a request was handled. */
    fun onFault(progress: String) = faults.labelValues(progress).inc()

    /** Records a connection that was closed because no response could be sent. */
    fun onUnanswered(progress: String) = unanswered.labelValues(progress).inc()

    fun onUnattributed(service: String) = unattributed.labelValues(service).inc()

    fun onRetry(service: String) = retries.labelValues(service).inc()

    /** Records a backend server that sent data again after it had been found unresponsive. */
    fun onBackendResumed() = backendsResumed.inc()

    /** Records an attempt that is sent while the running ones are silent. */
    fun onAttemptBeside(service: String) = attemptsBeside.labelValues(service).inc()

    /** Records an attempt that takes over from others, which are cancelled. */
    fun onTakeOver(service: String) = takeOvers.labelValues(service).inc()

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
