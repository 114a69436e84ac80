package org.bramleyspur.traffic.pressure

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/**
 * Guards against requests that are sent although they can only be late while others could be in time, callers who are
 * never served, and callers who return in waves.
 */
class PoolPressureTest {
    private fun request(
        route: String = "chat",
        account: String = "a",
        priority: Int = 0,
        waitedMs: Long = 0,
        remainingMs: Long = 5_000,
    ) = PressureRequest(route, account, sizeClass(1_000, 30), 300, priority, waitedMs, remainingMs)

    private fun prediction(waitMs: Double) = Prediction(waitMs + PROMPT_MS, waitMs)

    /** A pool at which requests of [accounts] started at one moment, with [waitMs] predicted. */
    private fun pool(waitMs: Double, accounts: List<String> = listOf("a", "b")) =
        accounts.fold(PoolPressure()) { pool, account ->
            val request = request(account = account)
            pool.onAsked(request, prediction(waitMs), 0).onStarted(request, 0)
        }

    private fun pressed(accounts: List<String> = listOf("a", "b")) = pool(100.0, accounts).onRejected(0)

    private class Case(
        val name: String,
        val pool: PoolPressure,
        val request: PressureRequest,
        val waitMs: Double?,
        val hasRoom: Boolean,
        val expected: String,
    )

    private val cases = listOf(
        Case("without pressure a late request starts", pool(20.0), request(), 400.0, true, "Start"),
        Case("a very late one does not", pool(20.0), request(), 500.0, false, "LATE"),
        Case("under pressure a request in time starts", pressed(), request(), 200.0, true, "Start"),
        Case("under pressure a late request waits", pressed(), request(), 300.0, true, "Wait"),
        Case("without room in the entry it is refused", pressed(), request(), 300.0, false, "LATE"),
        Case("after an eighth of its target it is refused", pressed(), request(waitedMs = 40), 300.0, true, "LATE"),
        Case("what it has waited counts", pressed(), request(waitedMs = 60), 200.0, false, "LATE"),
        Case("one that is too late takes idle room", pressed(), request(waitedMs = 2_000), 50.0, false, "Start"),
        Case("a less urgent one leaves room", pressed(), request("batch", priority = 1), 200.0, false, "LATE"),
        Case("no answer before the deadline", pool(20.0), request(remainingMs = 50), 60.0, false, "HOPELESS"),
        Case("no backend server", pool(20.0), request(), null, true, "NO_SERVER"),
    )

    @TestFactory
    fun `a request starts, waits or is refused`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val decision = case.pool.decide(case.request, case.waitMs?.let { prediction(it) }, case.hasRoom, 0.5, 0)
            val kind = (decision as? PressureDecision.Refuse)?.reason?.name ?: decision::class.simpleName
            expectThat(kind).isEqualTo(case.expected)
        }
    }

    @Test
    fun `an account above its fair share leaves room to the others`() {
        val pool = pressed(List(20) { "large" } + List(4) { "small" })
            .let { pool -> (1..6).fold(pool) { next, _ -> next.onAsked(request(account = "small"), null, 0) } }
        fun decide(account: String) = pool.decide(request(account = account), prediction(180.0), false, 0.5, 0)
        expectThat(decide("large")).isA<PressureDecision.Refuse>()
            .get { reason }.isEqualTo(PressureReason.SHARE)
        expectThat(decide("small")).isA<PressureDecision.Start>()
    }

    @Test
    fun `a route that is served much less often than the mean starts although it is late`() {
        val batch = request("batch", "c", priority = 1)
        val pool = (1..20).fold(pressed(List(40) { "a" })) { next, _ -> next.onAsked(batch, prediction(200.0), 0) }
        expectThat(pool.decide(batch, prediction(300.0), false, 0.5, 0)).isEqualTo(PressureDecision.Start(floor = true))
        expectThat(pool.decide(batch, prediction(500.0), false, 0.5, 0)).isA<PressureDecision.Refuse>()
    }

    @Test
    fun `callers return when the wait has fallen, spread over the time in which those refused can be served`() {
        fun times(refused: Int, waitMs: Double): List<Long> {
            val pool = (1..refused).fold(pressed(List(40) { "a" })) { next, _ -> next.onRefused(0) }
            return (0..9).map { pool.retryAfterMs(request(), prediction(waitMs), it / 10.0, 0) }
        }
        val few = times(refused = 2, waitMs = 300.0)
        expectThat(few.distinct().size).isGreaterThan(5)
        expectThat(times(refused = 2, waitMs = 700.0).first()).isGreaterThan(few.first())
        expectThat(times(refused = 10, waitMs = 300.0).last()).isGreaterThan(few.last())
        expectThat(times(refused = 1_000, waitMs = 9_000.0).last()).isLessThan(5_000 / 3 + 1)
        val pool = PoolPressure()
        listOf(1L, 10L, 500L, 8_000L).forEach { left ->
            val atMs = pool.retryAfterMs(request(remainingMs = left), null, 0.99, 0)
            expectThat(atMs).isIn(1..maxOf(1, left / 3))
        }
    }

    private fun StreamWindow.after(tookMs: List<Long>) = tookMs.foldIndexed(this) { index, window, ms ->
        window.onFirstEvent(ms, inFlight = 10, targetMs = 300, nowMs = index * 1_000L)
    }

    private class WindowCase(val name: String, val tookMs: List<Long>, val limit: Double)

    private val windowCases = listOf(
        WindowCase("all in time", List(20) { 250L }, Double.POSITIVE_INFINITY),
        WindowCase("four late ones among fast ones", List(20) { 120L } + List(4) { 300L }, Double.POSITIVE_INFINITY),
        WindowCase("a late one among slow ones", List(20) { 250L } + 300L, 8.0),
        WindowCase("a small one stays above its least", List(60) { 300L }, 2.0),
        WindowCase("slow ones let it grow slowly", List(20) { 250L } + 300L + List(4) { 250L }, 10.0),
    )

    @TestFactory
    fun `the window is cut by a queue, not by single faults`() = windowCases.map { case ->
        DynamicTest.dynamicTest(case.name) { expectThat(StreamWindow().after(case.tookMs).limit).isEqualTo(case.limit) }
    }

    @Test
    fun `a cut window is soon open again when first events are fast`() {
        val cut = StreamWindow().after(List(60) { 300L })
        val open = (1..20).fold(cut) { window, _ -> window.onFirstEvent(120, window.limit.toInt(), 300, 70_000) }
        expectThat(open.limit).isGreaterThan(20.0)
    }

    @Test
    fun `a full window holds nothing back at a short wait that counts all entries`() {
        val full = (1..60).fold(pool(20.0)) { next, index -> next.onFirstEvent(request(), 300, index * 1_000L) }
        fun decide(complete: Boolean) =
            full.decide(request(), prediction(30.0).copy(complete = complete), false, 0.5, 60_000)
        expectThat(decide(complete = true)).isA<PressureDecision.Start>()
        expectThat(decide(complete = false)).isA<PressureDecision.Refuse>()
    }

    @Test
    fun `pressure ends by itself`() {
        expectThat(pressed().isPressed(0)).isTrue()
        expectThat(pressed().isPressed(1_000)).isEqualTo(false)
    }

    @Test
    fun `the room is bounded and offers the most urgent first, and of these the newest`() {
        val room = WaitingRoom<String>().with("old", 0, 1, 10).with("new", 0, 2, 10).with("batch", 1, 3, 10)
        expectThat(room.order()).isEqualTo(listOf("new", "old", "batch"))
        expectThat(room.without("old").bytes).isEqualTo(20)
        expectThat(room.hasRoom("large", 16 * 1024 * 1024)).isEqualTo(false)
        expectThat(room.hasRoom("old", 16 * 1024 * 1024)).isTrue()
        val full = (1..256).fold(WaitingRoom<Int>()) { next, key -> next.with(key, 0, 0, 1) }
        expectThat(full.hasRoom(257, 1)).isEqualTo(false)
    }

    @Test
    fun `after an outage an entry counts on the others to send as much as itself`() {
        val ramp = (1..10).fold(ReturnRamp().onReturn(0)) { next, _ -> next.onStarted(20.0, 4, 8, 0) }
        expectThat(ramp.waitMs(4, 8, 0)).isEqualTo(400.0)
        expectThat(ramp.waitMs(4, 8, 200)).isEqualTo(200.0)
        expectThat(ramp.waitMs(4, 8, 1_000)).isEqualTo(0.0)
    }

    @Test
    fun `the max-min share leaves small demands whole`() {
        expectThat(maxMinShare(listOf(2.0, 3.0, 20.0, 30.0), 25.0)).isEqualTo(10.0)
        expectThat(maxMinShare(listOf(2.0, 3.0), 25.0)).isEqualTo(Double.POSITIVE_INFINITY)
    }

    private companion object {
        const val PROMPT_MS = 20.0
    }
}
