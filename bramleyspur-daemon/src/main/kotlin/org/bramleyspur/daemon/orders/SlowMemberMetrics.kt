package org.bramleyspur.daemon.orders

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Prometheus metrics of the replacement of slow members of groups. */
internal class SlowMemberMetrics(registry: PrometheusRegistry) {
    val replacements: Counter = Counter.builder()
        .name("bramleyspur_slow_member_replacements_total")
        .help("Groups that were closed to replace slow members by spares, by service.")
        .labelNames("service")
        .register(registry)
}
