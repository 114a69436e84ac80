package org.bramleyspur.testbed.engine

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LoadMeterTest {
    /** Guards against load reports newer than the configured lag, which would make routing look better than it is. */
    @ParameterizedTest
    @CsvSource("0,2000,40,0", "500,2000,30,500", "700,2000,26,700", "5000,2000,0,2000")
    fun `a report is as old as the lag`(lagMs: Long, nowMs: Long, running: Int, ageMs: Long) {
        val meter = LoadMeter(lagMs, slots = 8)
        for (at in 0..nowMs step LOAD_SAMPLE_MS) {
            meter.sample(at * 1_000_000, running = (at / LOAD_SAMPLE_MS).toInt(), queued = 0)
            repeat(10) { meter.countToken() }
        }
        val report = meter.report(nowMs * 1_000_000)
        expectThat(report.running).isEqualTo(running)
        expectThat(report.ageMs).isEqualTo(ageMs)
        if (running > 0) expectThat(report.tokensPerSecond).isEqualTo(200.0)
    }
}
