package org.bramleyspur.traffic.agent

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

/** Guards I1 and I2 in generated sequences of faults on three agents with engines that ignore fencing numbers. */
class AgentSequencesTest {
    @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun noInstanceIsInTwoReplicasAndNoPartialReplicaServes(@ForAll seed: Long) {
        AgentCluster(seed).run(steps = 6_000)
    }

    /** A run in which nothing serves would prove nothing. */
    @Test
    fun `replicas do serve in the generated sequences`() {
        val served = (1L..20L).sumOf { seed -> AgentCluster(seed).also { it.run(steps = 6_000) }.served }
        expectThat(served).isGreaterThan(1_000)
    }
}
