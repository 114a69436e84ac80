package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.daemon.caller.RawClient
import org.bramleyspur.traffic.forward.ServerPool
import org.bramleyspur.traffic.outage.PacedStream
import org.bramleyspur.traffic.outage.ReleaseDecision
import org.bramleyspur.traffic.outage.StreamTimes
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.map
import java.util.concurrent.CompletableFuture

/** Guards against late streams that go first after an outage, and against ones sent for a caller who has left. */
class ReturnPacingTest : ForwardTest() {
    /** With many entries, none has room for a late stream. */
    @Volatile
    private var entries = 1_000
    private val pool = ServerPool("s", "m")
    private val pacing = ReturnPacing(timers, context.metrics, { entries }, { 0.0 })

    @Test
    fun `after an outage a late stream goes after one in time, and one whose caller has left is not sent`() {
        val route = route("/stream/", RouteKind.STREAMING, 2).copy(targetLatencyMs = 150)
        val engines = document(listOf(route)).copy(services = persistentMapOf("s" to engineService))
        val backend = ScriptedBackend(Script(streamResponse("id: 1\ndata: a\n\n", complete = true)))
        backends += backend
        loops.traffic.submit { context.pacing = pacing }.get()
        apply(engines, emptyList())
        val late = CompletableFuture.supplyAsync { post("/stream/late", MODEL, remainingMs = 3_000)!! }
        RawClient(port).use { client ->
            client.send(
                "POST /stream/left HTTP/1.1\r\nHost: h\r\n$ATTEMPT_ID_HEADER: left\r\nX-Left: 2000\r\n" +
                    "Authorization: Bearer key\r\n${MODEL}Content-Length: 0\r\n\r\n",
            )
            expectThat(logLine("request-waits", "\"request\":\"7\"")).isNotNull()
            expectThat(logLine("request-waits", "\"request\":\"left\"")).isNotNull()
            Thread.sleep(LATE_MS)
            apply(engines, listOf(engine(0, backend.address)))
            expectThat(logLine("request-held", "left")).isNotNull()
        }
        expectThat(logLine("caller-left")).isNotNull()
        expectThat(post("/stream/in-time", MODEL)!!.status).isEqualTo(200)
        entries = 1
        expectThat(late.join().status).isEqualTo(200)
        expectThat(logLine("request-released", "\"late\":true")).isNotNull()
        expectThat(backend.requests).map { it.substringBefore(" HTTP").substringAfterLast('/') }
            .isEqualTo(listOf("in-time", "late"))
        expectThat(loops.traffic.submit<Int> { pacing.heldCount }.get()).isEqualTo(0)
    }

    /** Guards against streams that are held as after an outage since one before them suited no backend server. */
    @Test
    fun `a stream that no backend server can take is no outage`() {
        val engines = document(listOf(route("/stream/", RouteKind.STREAMING, 2)))
            .copy(services = persistentMapOf("s" to engineService))
        val backend = ScriptedBackend(Script(streamResponse("id: 1\ndata: a\n\n", complete = true)))
        backends += backend
        loops.traffic.submit { context.pacing = pacing }.get()
        apply(engines, listOf(engine(0, backend.address)))
        expectThat(post("/stream/first", MODEL)?.status).isEqualTo(200)
        timers.hold()
        timers.advance(RETURNED_MS)
        expectThat(post("/stream/large", "X-Model: m\r\nX-Tokens: 2000000,20\r\n")?.status).isEqualTo(503)
        expectThat(post("/stream/next", MODEL)?.status).isEqualTo(200)
        val now = timers.nowMs()
        val stream = PacedStream(now - 1_000, targetMs = 100, deadlineMs = now + 1_000)
        val decide = { pacing.decide(pool, stream, StreamTimes(10.0, 0.0), servers = 1, slots = 8) }
        expectThat(loops.traffic.submit<ReleaseDecision?> { decide() }.get()).isNull()
    }

    /** Guards against callers of a pool with few servers who are refused each time the last one is replaced. */
    @Test
    fun `servers that come back while the process runs are all known, and are not paced`() {
        val decision = loops.traffic.submit<ReleaseDecision?> {
            pacing.onServers(pool, known = true)
            timers.hold()
            timers.advance(RETURNED_MS)
            pacing.onServers(pool, known = false)
            pacing.onServers(pool, known = true)
            val now = timers.nowMs()
            val stream = PacedStream(now - 1_000, targetMs = 100, deadlineMs = now + 1_000)
            pacing.decide(pool, stream, StreamTimes(10.0, 0.0), servers = 1, slots = 8)
        }
        expectThat(decision.get()).isNull()
    }

    private companion object {
        /** Longer than a return from an outage lasts. */
        const val RETURNED_MS = 10_000L
        const val MODEL = "X-Model: m\r\nX-Tokens: 100,20\r\n"
        const val LATE_MS = 200L
    }
}
