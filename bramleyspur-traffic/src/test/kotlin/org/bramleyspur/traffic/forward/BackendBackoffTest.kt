package org.bramleyspur.traffic.forward

import org.bramleyspur.traffic.quarantine.EngineLife
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Instant

/** Guards against requests to a backend server that has said it wants none, and against one that is held for good. */
class BackendBackoffTest {
    private val server = EngineLife("a", 1)
    private val other = EngineLife("b", 1)
    private val restarted = EngineLife("a", 2)

    private class Case(
        val name: String,
        val backoff: BackendBackoff,
        val atMs: Long,
        val server: EngineLife,
        val allowed: Boolean,
    )

    private val turnedAway = BackendBackoff().onTurnedAway(server, 2_000, 1_000)
    private val leaving = BackendBackoff().onLeaving(server)

    private val cases = listOf(
        Case("nothing said", BackendBackoff(), 0, server, allowed = true),
        Case("turned away, at once", turnedAway, 1_000, server, allowed = false),
        Case("turned away, before the end", turnedAway, 2_999, server, allowed = false),
        Case("turned away, at the end", turnedAway, 3_000, server, allowed = true),
        Case("turned away, another server", turnedAway, 1_000, other, allowed = true),
        Case("turned away, restarted", turnedAway, 1_000, restarted, allowed = true),
        Case("a shorter time later", turnedAway.onTurnedAway(server, 100, 1_500), 2_000, server, allowed = false),
        Case("a longer time later", turnedAway.onTurnedAway(server, 9_000, 1_500), 9_000, server, allowed = false),
        Case("leaving", leaving, 1_000_000, server, allowed = false),
        Case("leaving, restarted", leaving, 0, restarted, allowed = true),
        Case("leaving, expired as unknown", leaving.expire(setOf(other), 0), 0, server, allowed = true),
        Case("leaving, still known", leaving.expire(setOf(server), 1_000_000), 0, server, allowed = false),
        Case("turned away, still known", turnedAway.expire(setOf(server), 2_000), 2_000, server, allowed = false),
    )

    @TestFactory
    fun `requests to a server`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            expectThat(case.backoff.allows(case.server, case.atMs)).isEqualTo(case.allowed)
        }
    }

    @Test
    fun `time until a server takes requests`() {
        expectThat(turnedAway.waitMs(listOf(server), 1_500)).isEqualTo(1_500)
        expectThat(turnedAway.waitMs(listOf(server, other), 1_500)).isEqualTo(0)
        expectThat(leaving.waitMs(listOf(server), 0)).isNull()
        expectThat(leaving.onTurnedAway(other, 700, 0).waitMs(listOf(server, other), 0)).isEqualTo(700)
    }

    private val headers = listOf(
        listOf<String>() to null,
        listOf("2") to 2_000L,
        listOf(" 0.25 ") to 250L,
        listOf("0") to null,
        listOf("-3") to null,
        listOf("+3") to null,
        listOf("soon") to null,
        listOf("") to null,
        listOf("NaN") to null,
        listOf("Infinity") to null,
        listOf("1e300") to null,
        listOf("0x10") to null,
        listOf("1,2") to null,
        listOf("99999999999") to MAX_RETRY_AFTER_MS,
        listOf("9".repeat(5_000)) to null,
        listOf("1", "3", "2") to 3_000L,
        listOf("-1", "x", "2") to 2_000L,
        listOf("Sat, 5 Dec 2026 12:00:10 GMT") to 10_000L,
        listOf("Sat, 5 Dec 2026 11:59:00 GMT") to null,
        listOf("Sun, 5 Dec 2100 12:00:00 GMT") to MAX_RETRY_AFTER_MS,
        listOf("Sat, 35 Dec 2026 12:00:10 GMT") to null,
        List(10_000) { "$it" } to MAX_RETRY_AFTER_MS,
    )

    @TestFactory
    fun `delay that headers name`() = headers.map { (values, expected) ->
        DynamicTest.dynamicTest("'${values.joinToString(" | ").take(60)}'") {
            expectThat(retryAfterMs(values, Instant.parse("2026-12-05T12:00:00Z"))).isEqualTo(expected)
        }
    }
}
