package org.bramleyspur.daemon.session

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.bramleyspur.control.placement.Measures
import org.bramleyspur.control.placement.PlacementSnapshot
import org.bramleyspur.control.placement.ReplicaState

/** Group downtime and stranded accelerators as the control leader sees them. */
class PlacementMetrics(registry: PrometheusRegistry) {
    private val downSeconds: Counter =
        Counter
            .builder()
            .name("bramleyspur_group_downtime_seconds_total")
            .help("Time during which wanted replicas did not serve, summed over replicas.")
            .register(registry)
    private val strandedSeconds: Counter =
        Counter
            .builder()
            .name("bramleyspur_stranded_accelerator_seconds_total")
            .help("Time during which powered accelerators served no complete replica, summed over accelerators.")
            .register(registry)
    private val down: Gauge =
        Gauge
            .builder()
            .name("bramleyspur_replicas_down")
            .help("Wanted replicas that do not serve.")
            .register(registry)
    private val stranded: Gauge =
        Gauge
            .builder()
            .name("bramleyspur_accelerators_stranded")
            .help("Powered accelerators that serve no complete replica.")
            .register(registry)
    private val serving: Gauge =
        Gauge
            .builder()
            .name("bramleyspur_replicas_serving")
            .help("Replicas that serve.")
            .register(registry)

    internal fun set(measures: Measures, snapshot: PlacementSnapshot) {
        down.set(measures.downReplicas.toDouble())
        stranded.set(measures.strandedAccelerators.toDouble())
        serving.set(snapshot.replicas.count { it.state == ReplicaState.Serving }.toDouble())
    }

    /** Adds a period; [period] is in replica and accelerator milliseconds. */
    internal fun add(period: Measures) {
        downSeconds.inc(period.downReplicas / MS_PER_SECOND)
        strandedSeconds.inc(period.strandedAccelerators / MS_PER_SECOND)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
