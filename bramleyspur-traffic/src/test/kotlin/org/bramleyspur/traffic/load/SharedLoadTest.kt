package org.bramleyspur.traffic.load

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against sums that miss entries, count an entry's own work twice or keep the work of one that is gone. */
class SharedLoadTest {
    private val work = ServerLoad(inFlight = 2, pendingPrefillTokens = 1_000, contextTokens = 3_000)
    private val settled = WorkReports().asLeader(leads = true, nowMs = 0)

    @Test
    fun `an entry is told the work of the others`() {
        val reports = settled.with("a", mapOf("e1" to work, "e2" to work), 900).with("b", mapOf("e1" to work), 900)
        expectThat(reports.othersOf("a", 1_000)).isEqualTo(mapOf("e1" to work))
        expectThat(reports.othersOf("b", 1_000)).isEqualTo(mapOf("e1" to work, "e2" to work))
        expectThat(reports.othersOf("c", 1_000)).isEqualTo(mapOf("e1" to work + work, "e2" to work))
    }

    @Test
    fun `a report replaces the one before`() {
        val reports = settled.with("a", mapOf("e1" to work), 900).with("a", mapOf("e2" to work), 950)
        expectThat(reports.othersOf("b", 1_000)).isEqualTo(mapOf("e2" to work))
    }

    @Test
    fun `the work of an entry that has died is dropped`() {
        val reports = settled.with("a", mapOf("e1" to work), 1_000).with("b", mapOf("e1" to work), 1_900)
        expectThat(reports.expire(2_000).othersOf("c", 2_000)["e1"]).isEqualTo(work + work)
        expectThat(reports.expire(2_001).othersOf("c", 2_001)["e1"]).isEqualTo(work)
    }

    /** Guards against entries that take servers for idle because a new leader has heard from a part of the entries. */
    @Test
    fun `a new leader tells nothing before all entries could report to it`() {
        val reports = WorkReports().asLeader(leads = true, nowMs = 5_000).with("a", mapOf("e1" to work), 5_100)
        expectThat(reports.othersOf("b", 5_699)).isEqualTo(emptyMap())
        expectThat(reports.othersOf("b", 5_700)).isEqualTo(mapOf("e1" to work))
    }

    @Test
    fun `an instance that has lost the lead forgets the reports and takes none`() {
        val former = settled.with("a", mapOf("e1" to work), 900).asLeader(leads = false, nowMs = 1_000)
        expectThat(former.with("a", mapOf("e1" to work), 1_100).othersOf("b", 1_200)).isEqualTo(emptyMap())
        val again = former.asLeader(leads = true, nowMs = 1_300)
        expectThat(again.othersOf("b", 2_100)).isEqualTo(emptyMap())
    }

    @Test
    fun `an entry that is cut off from control stops using its view`() {
        val view = SharedView().onEvent(mapOf("e1" to work), 1_000)
        expectThat(view.othersAt("e1", 2_000)).isEqualTo(work)
        expectThat(view.othersAt("e2", 2_000)).isEqualTo(ServerLoad())
        expectThat(view.othersAt("e1", 2_001)).isNull()
        expectThat(view.dataAgeMs(1_200)).isEqualTo(325.0)
        expectThat(view.dataAgeMs(2_000)).isEqualTo(425.0)
        expectThat(view.dataAgeMs(2_001)).isNull()
        expectThat(view.isUsable(2_000)).isTrue()
        expectThat(view.isUsable(2_001)).isFalse()
    }

    @Test
    fun `an event without work leaves the view as it is`() {
        val view = SharedView().onEvent(mapOf("e1" to work), 1_000).onEvent(emptyMap(), 1_500)
        expectThat(view.ageMs(1_600)).isNotNull().isEqualTo(600)
        expectThat(SharedView().onEvent(emptyMap(), 1_000).isUsable(1_000)).isFalse()
    }
}
