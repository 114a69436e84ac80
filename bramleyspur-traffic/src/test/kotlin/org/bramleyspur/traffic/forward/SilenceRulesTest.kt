package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a slow request that is taken for a silent backend server, and a silent one that is never noticed. */
class SilenceRulesTest {
    @TestFactory
    fun `silence of an attempt`() = listOf(
        Silence(400, attemptMs = 300, serverMs = null) to SilenceCheck.NotYet(100),
        Silence(400, attemptMs = 400, serverMs = null) to SilenceCheck.Silent,
        Silence(450, attemptMs = 450, serverMs = 450) to SilenceCheck.Silent,
        Silence(450, attemptMs = 450, serverMs = 200) to SilenceCheck.NotYet(100),
        Silence(2_000, attemptMs = 2_000, serverMs = 440) to SilenceCheck.NotYet(100),
        Silence(2_000, attemptMs = 2_000, serverMs = 450) to SilenceCheck.Silent,
        Silence(2_000, attemptMs = 500, serverMs = 500) to SilenceCheck.NotYet(1_500),
    ).map { (silence, expected) ->
        DynamicTest.dynamicTest("$silence") { expectThat(checkSilence(silence)).isEqualTo(expected) }
    }
}
