package org.bramleyspur.daemon.caller.request

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of an entry. */
class EntryMetrics(registry: PrometheusRegistry) {
    /**
     * Requests by service and outcome: answered, not_run, may_have_run, ran_and_failed, abandoned, or the error code of
     * a request that was not admitted.
     */
    val requests: Counter =
        Counter
            .builder()
            .name("bramleyspur_entry_requests_total")
            .help("Requests of callers by outcome.")
            .labelNames("service", "outcome")
            .register(registry)

    /** Requests in progress by service. */
    val inFlight: Gauge =
        Gauge
            .builder()
            .name("bramleyspur_entry_requests_in_flight")
            .help("Requests of callers in progress.")
            .labelNames("service")
            .register(registry)

    /** Time in seconds from the admission of a request to its first token. */
    val firstToken: Histogram =
        Histogram
            .builder()
            .name("bramleyspur_entry_first_token_seconds")
            .help("Time from the admission of a request to its first token.")
            .labelNames("service")
            .register(registry)

    /** Tokens delivered to callers. */
    val tokens: Counter =
        Counter
            .builder()
            .name("bramleyspur_entry_tokens_total")
            .help("Tokens delivered to callers.")
            .labelNames("service")
            .register(registry)
}
