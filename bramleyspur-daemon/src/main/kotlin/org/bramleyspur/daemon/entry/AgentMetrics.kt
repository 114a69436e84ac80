package org.bramleyspur.daemon.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of an agent. */
class AgentMetrics(registry: PrometheusRegistry) {
    /** Attempts by outcome: finished, refused, broken, rejected. */
    val attempts: Counter =
        Counter
            .builder()
            .name("bramleyspur_agent_attempts_total")
            .help("Attempts of entries by outcome.")
            .labelNames("outcome")
            .register(registry)

    /** Attempts that run on the backend server. */
    val running: Gauge =
        Gauge
            .builder()
            .name("bramleyspur_agent_attempts_running")
            .help("Attempts that run on the backend server.")
            .register(registry)

    /** Time in seconds that attempts waited for a slot. */
    val queueWait: Histogram =
        Histogram
            .builder()
            .name("bramleyspur_agent_queue_wait_seconds")
            .help("Time that attempts waited in the queue.")
            .register(registry)
}
