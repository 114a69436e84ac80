package org.bramleyspur.daemon.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against delayed attempts that are not detected, and against punctual attempts that count as late. */
class TransitDelayEstimatorTest {
    private val estimator = TransitDelayEstimator()

    @Test
    fun `a message with a longer transit time than others is late by the difference`() {
        expectThat(estimator.delayMs("e", sentAtMs = 1_000, nowMs = 501_000)).isEqualTo(0)
        expectThat(estimator.delayMs("e", sentAtMs = 2_000, nowMs = 502_300)).isEqualTo(300)
        expectThat(estimator.delayMs("e", sentAtMs = 3_000, nowMs = 502_990)).isEqualTo(0)
        expectThat(estimator.delayMs("e", sentAtMs = 4_000, nowMs = 504_000)).isEqualTo(10)
    }

    @Test
    fun `the delay is estimated separately for each entry`() {
        estimator.delayMs("e", sentAtMs = 1_000, nowMs = 1_001)
        expectThat(estimator.delayMs("f", sentAtMs = 1_000, nowMs = 9_000)).isEqualTo(0)
    }

    @Test
    fun `clock drift over three days makes no message late`() {
        val threeDaysS = 3 * 24 * 60 * 60
        for (second in 0L..threeDaysS) {
            val sentAtMs = second * 1_000 - second / 20
            expectThat(estimator.delayMs("e", sentAtMs, second * 1_000)).isLessThan(5)
        }
    }

    @Test
    fun `a freeze of ten minutes is detected as delay`() {
        estimator.delayMs("e", sentAtMs = 0, nowMs = 1)
        expectThat(estimator.delayMs("e", sentAtMs = 10, nowMs = 600_010)).isGreaterThan(599_000)
    }
}
