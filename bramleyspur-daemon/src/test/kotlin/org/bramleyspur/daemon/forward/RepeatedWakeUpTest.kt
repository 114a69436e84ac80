package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.document.RouteKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture

/**
 * Guards against a stream that runs on several engines since more than one wake-up was set while it waited: first for
 * any engine, then for cold engines whose share was used up.
 */
class RepeatedWakeUpTest : ForwardTest() {
    private val service = engineService.copy(coldRequestsPerSecond = 20.0)

    private fun pace() {
        context.pacing = ReturnPacing(timers, context.metrics, { 1 }, { 0.0 })
    }

    private fun compete() {
        context.pressure = PressureAdmission(timers, context.metrics, { 1 }, { 0.0 })
    }

    /** Sends a stream that waits, and returns the number of attempts at three engines. */
    private fun attemptsAfterWaits(resumable: Boolean, hold: () -> Unit): Int {
        val route = route("/stream/", RouteKind.STREAMING, 2)
            .copy(resumable = resumable, targetLatencyMs = TIMEOUT_MS, timeoutMs = TIMEOUT_MS)
        val document = document(listOf(route)).copy(services = persistentMapOf("s" to service))
        val script = Script(
            streamResponse("id: 1\ndata: a\n\n", complete = false),
            pauseMs = PAUSE_MS,
            afterPause = "0\r\n\r\n",
        )
        backends += List(3) { ScriptedBackend(script) }
        loops.traffic.submit { hold() }.get()
        apply(document, emptyList())
        val response = CompletableFuture.supplyAsync { post("/stream/", MODEL, remainingMs = TIMEOUT_MS) }
        expectThat(logLine("request-waits")).isNotNull()
        announceColdEngines()
        expectThat(response.join()?.body).isEqualTo("id: 1\ndata: a\n\n")
        return backends.sumOf { it.requests.size }
    }

    /** Announces engines that are cold and have just been sent what this entry may send to them. */
    private fun announceColdEngines() = loops.traffic.submit {
        val now = timers.nowMs()
        context.cold.start()
        context.cold.onControlEvent(1)
        val cold = backends.mapIndexed { index, backend ->
            engine(index, backend.address).copy(coldRemainingMs = 60_000)
        }
        cold.forEach { context.cold.onSent(service, it.id) }
        context.directory = cold.fold(BackendDirectory()) { all, next -> all.withAnnouncement(next, now) }
    }.get()

    @Test
    fun `a stream that may run once, paced after an outage`() {
        expectThat(attemptsAfterWaits(resumable = false, ::pace)).isEqualTo(1)
    }

    @Test
    fun `a stream that may be resumed, paced after an outage`() {
        expectThat(attemptsAfterWaits(resumable = true, ::pace)).isEqualTo(1)
    }

    @Test
    fun `a stream that may run once, beside competing requests`() {
        expectThat(attemptsAfterWaits(resumable = false, ::compete)).isEqualTo(1)
    }

    @Test
    fun `a stream that may be resumed, beside competing requests`() {
        expectThat(attemptsAfterWaits(resumable = true, ::compete)).isEqualTo(1)
    }

    private companion object {
        const val MODEL = "X-Model: m\r\nX-Tokens: 100,20\r\n"
        const val TIMEOUT_MS = 8_000L

        /** Long enough for the wake-ups that were set, and shorter than what counts as silence. */
        const val PAUSE_MS = 200L
    }
}
