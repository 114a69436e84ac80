package org.bramleyspur.traffic.cold

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an entry that takes a cold server for a warm one, or a warm one for cold for long. */
class ColdAdmissionTest {
    private val bounds = ServiceColdBounds(limit = 12, coldStartMs = 3_000, announcementIntervalMs = 1_000)
    private val warm = ServerView("a", coldUntilMs = 0, receivedMs = 9_800, ageMs = 60_000)

    /** An entry that runs since time 0, one of [entries], with news of control every 100 ms until [lastEventMs]. */
    private fun entry(lastEventMs: Long = 10_000, entries: Int = 5, pauseMs: LongRange = LongRange.EMPTY) =
        (0..10_000L step 100).filter { it !in pauseMs }.fold(ColdAdmission(ControlContact(0))) { state, nowMs ->
            val active = state.onActive(nowMs)
            if (nowMs <= lastEventMs) active.onEvent(entries, nowMs) else active
        }

    private class Case(val name: String, val reason: ColdReason?, val server: ServerView, val entry: ColdAdmission)

    @TestFactory
    fun `a server counts as cold for a reason`() = listOf(
        Case("in touch", null, warm, entry()),
        Case("says so", ColdReason.ANNOUNCED, warm.copy(coldUntilMs = 10_001), entry()),
        Case("was cold", null, warm.copy(coldUntilMs = 10_000), entry()),
        Case("has just started", ColdReason.NEW_LIFE, warm.copy(ageMs = 2_999), entry()),
        Case("start not announced", ColdReason.NEW_LIFE, warm.copy(ageMs = null), entry()),
        Case("two announcements missed", ColdReason.UNHEARD, warm.copy(receivedMs = 7_600), entry()),
        Case("no news of control", ColdReason.OUT_OF_TOUCH, warm, entry(lastEventMs = 8_900)),
        Case("just woken", ColdReason.OUT_OF_TOUCH, warm, entry(pauseMs = 8_000L..9_900)),
        Case("read after the pause", ColdReason.UNHEARD, warm.copy(receivedMs = 8_800), entry(pauseMs = 8_000L..8_700)),
        Case("announced after the pause", null, warm, entry(pauseMs = 8_000L..8_700)),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            expectThat(case.entry.coldReason(case.server, bounds, 10_000)).isEqualTo(case.reason)
        }
    }

    private fun sendable(entry: ColdAdmission, server: ServerView, bounds: ServiceColdBounds): Int =
        generateSequence(entry) { it.onSent(server.id, 10_000) }
            .takeWhile { it.decide(server, bounds, 10_000) == ColdDecision.Allowed }
            .take(100)
            .count()

    @TestFactory
    fun `an entry sends its share to a cold server`() = listOf(
        Triple("two of 12 for each of 5 and an unknown one", entry(), 2),
        Triple("the most entries of a minute", entry().onEvent(1, 10_000), 2),
        Triple("a new entry gets one", ColdAdmission(ControlContact(8_500)).onActive(8_700).onEvent(5, 8_700), 1),
        Triple("cut off soon after its start", ColdAdmission(ControlContact(4_000)).onEvent(1, 4_000), 1),
        Triple(
            "told again after that",
            ColdAdmission(ControlContact(4_000)).onEvent(1, 4_000).onEvent(1, 9_900),
            1,
        ),
        Triple("more entries than the limit", entry(entries = 13), 0),
        Triple("no word of the other entries", ColdAdmission(ControlContact(10_000)), 0),
    ).map { (name, entry, share) ->
        DynamicTest.dynamicTest(name) {
            expectThat(sendable(entry, warm.copy(coldUntilMs = 20_000), bounds)).isEqualTo(share)
        }
    }

    /** Guards against a large deployment that serves nothing while control cannot be reached. */
    @Test
    fun `a server that is only presumed cold gets a request of each entry`() {
        expectThat(sendable(entry(lastEventMs = 8_900, entries = 500), warm, bounds)).isEqualTo(1)
    }

    /** Guards against requests that were sent while the server was warm and are not counted once it is cold. */
    @Test
    fun `a held request learns when the share returns`() {
        val sent = listOf(9_500L, 9_600, 9_900).fold(entry()) { state, atMs -> state.onSent("a", atMs) }
        expectThat(sent.decide(warm.copy(coldUntilMs = 20_000), bounds, 10_000))
            .isEqualTo(ColdDecision.Held(9_600 + ColdAdmission.WINDOW_MS, ColdReason.ANNOUNCED))
    }

    /** Guards against requests that leave a frozen entry only when it wakes, beside the next ones. */
    @Test
    fun `requests before a pause count from its end`() {
        val sent = entry(lastEventMs = 9_000).onSent("a", 9_900).onActive(14_000)
        expectThat(sent.onSent("a", 14_000).decide(warm, bounds, 14_100))
            .isEqualTo(ColdDecision.Held(14_000 + ColdAdmission.WINDOW_MS, ColdReason.OUT_OF_TOUCH))
    }
}
