package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.time.ManualTimers
import org.bramleyspur.traffic.cold.ColdBounds
import org.bramleyspur.traffic.cold.ColdReason
import org.bramleyspur.traffic.quarantine.EngineLife
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotNull

/** Guards against requests to cold backend servers beyond the share of an entry, first sends and repeats alike. */
class ColdServerTest : ForwardTest() {
    private val ok = Script(okResponse("x"))
    private val refusing = Script("HTTP/1.1 503 No\r\n$ATTEMPT_ID_HEADER: 7\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n")

    private fun Document.bounded(perSecond: Double) = copy(
        services = services.mapValues { it.value.copy(coldRequestsPerSecond = perSecond) }.toPersistentMap(),
    )

    /** Announces backend servers that are cold for a minute; this entry, the only one, is new and may send each one. */
    private fun startCold(perSecond: Double, vararg scripts: Script) {
        backends += scripts.map { ScriptedBackend(it) }
        val cold = backends.mapIndexed { index, backend ->
            announcement(index, backend.address).copy(coldRemainingMs = 60_000)
        }
        apply(document.bounded(perSecond), cold)
        loops.traffic.submit {
            context.directory = cold.fold(BackendDirectory()) { all, next ->
                all.withAnnouncement(next, loops.trafficTimers.nowMs())
            }
            context.cold.start()
            context.cold.onControlEvent(1)
        }.get()
    }

    @Test
    fun `a request beyond the shares is refused with the time at which they return`() {
        startCold(20.0, ok, ok)
        timers.hold()
        val responses = List(3) { post("/again/") }
        expectThat(responses.map { it?.status }).isEqualTo(listOf(200, 200, 503))
        expectThat(backends.map { it.requests.size }).isEqualTo(listOf(1, 1))
        val retryAfterS = responses.last()?.header("retry-after")?.toDoubleOrNull()
        expectThat(retryAfterS).isNotNull().isIn(0.001..1.3)
        expectThat(logLine("cold-held", "\"reason\":\"ANNOUNCED\"", "\"waits\":false")).isNotNull()
        expectThat(counted("bramleyspur_cold_held_requests", "refused")).isEqualTo(1.0)
    }

    @Test
    fun `a request waits when the share returns soon`() {
        startCold(20.0, ok)
        expectThat(post("/again/")?.status).isEqualTo(200)
        Thread.sleep(NEARLY_RETURNED_MS)
        expectThat(post("/again/")?.status).isEqualTo(200)
    }

    @Test
    fun `a repeat counts like a first send`() {
        startCold(20.0, refusing, ok)
        timers.hold()
        expectThat(List(2) { post("/again/")?.status }).isEqualTo(listOf(200, 503))
        expectThat(backends[1].requests.size).isEqualTo(1)
    }

    @Test
    fun `servers without a bound take every request`() {
        startCold(0.0, ok)
        expectThat(List(4) { post("/again/")?.status }).isEqualTo(List(4) { 200 })
    }

    /** Guards against a server that turns cold and goes on receiving requests until its next announcement. */
    @Test
    fun `a response says that its server is cold`() {
        val timers = ManualTimers()
        val directory = BackendDirectory().withAnnouncement(announcement(0, "127.0.0.1:80"), 0)
        val settings = ColdSettings(ColdBounds(factor = 1.0, slack = 0.0), announcementIntervalMs = 1_000)
        val servers = ColdServers(settings, timers, "X-Cold", { directory }) { 60_000 }
        val service = DocumentService("s", 100, null, persistentListOf(), coldRequestsPerSecond = 4.0)
        servers.onControlEvent(1)
        repeat(4) { servers.onSent(service, "b0") }
        expectThat(servers.held(service, "b0")).isEqualTo(null)
        servers.onResponseHead(EngineLife("b0", 1), DefaultHttpHeaders().set("X-Cold", "oops"))
        expectThat(servers.held(service, "b0")).isEqualTo(null)
        servers.onResponseHead(EngineLife("b0", 1), DefaultHttpHeaders().set("X-Cold", "500"))
        expectThat(servers.held(service, "b0")?.reason).isEqualTo(ColdReason.ANNOUNCED)
    }

    /** Guards against a server that counts as just started for as long as a clock is set back. */
    @Test
    fun `a server that has been known for long is not new`() {
        val timers = ManualTimers()
        val started = announcement(0, "127.0.0.1:80").copy(startedAtMs = 90_000)
        var directory = BackendDirectory().withAnnouncement(started, 0)
        val settings = ColdSettings(ColdBounds(factor = 1.0, slack = 0.0), announcementIntervalMs = 1_000)
        val servers = ColdServers(settings, timers, "X-Cold", { directory }) { 50_000 }
        val service = DocumentService("s", 100, null, persistentListOf(), 3_000, coldRequestsPerSecond = 4.0)
        servers.start()
        val held = (1..4).map {
            directory = BackendDirectory().withAnnouncement(started, timers.nowMs())
            servers.onControlEvent(1)
            servers.onSent(service, "b0")
            servers.onSent(service, "b0")
            servers.held(service, "b0")?.reason.also { timers.advance(1_000) }
        }
        expectThat(held).isEqualTo(List(3) { ColdReason.NEW_LIFE } + null)
    }

    private companion object {
        /** Less than a window, by less than a quarter of the expected latency. */
        const val NEARLY_RETURNED_MS = 1_150L
    }
}
