package org.bramleyspur.traffic.agent

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

/**
 * Guards against an instance in two replicas and a replica that serves without all its members, in generated sequences
 * of faults on three agents whose engines ignore fencing numbers.
 */
class AgentSequencesTest {
    @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun noInstanceIsInTwoReplicasAndNoPartialReplicaServes(@ForAll seed: Long) {
        AgentCluster(seed).run(steps = 6_000)
    }

    /** Guards against sequences in which no replica serves, which would check nothing. */
    @Test
    fun `replicas serve in the generated sequences`() {
        val servingSteps = (1L..20L).sumOf { seed -> AgentCluster(seed).also { it.run(steps = 6_000) }.servingSteps }
        expectThat(servingSteps).isGreaterThan(1_000)
    }
}
