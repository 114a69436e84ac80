package org.bramleyspur.daemon.engine

import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.Flood
import org.bramleyspur.daemon.caller.HOST
import org.bramleyspur.daemon.caller.awaitTrue
import org.bramleyspur.daemon.entry.CacheEventBuffer
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.daemon.process.EventLoops
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an engine that sends bytes without end in place of cache events, which an agent reads for ever. */
class EndlessCacheEventsTest {
    private class Case(val name: String, val start: String, val next: String)

    private val cases = listOf(
        Case("a status line", "HTTP/1.1 200 ", "O"),
        Case("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"),
        Case("the body of an error", "HTTP/1.1 500 Error\r\n\r\n", "abcd"),
        Case("a line", "HTTP/1.1 200 OK\r\n\r\n", "a"),
    )

    @TestFactory
    fun `the connection is closed and the stream is opened again`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val flood = Flood()
            val loops = EventLoops()
            FakeBackend { flood.send(this, case.start) { case.next } }.use { engine ->
                val address = Address(HOST, engine.port)
                val http = HttpClient(address, loops.trafficGroup)
                val reader = CacheEventReader(address, http::call, loops.trafficTimers, CacheEventBuffer())
                loops.traffic.execute { reader.start() }
                awaitTrue(REOPEN_LIMIT_MS, "the second stream") { flood.begun.get() > 1 }
                expectThat(flood.open.get() <= 1).isEqualTo(true)
            }
            loops.close()
        }
    }

    private companion object {
        const val REOPEN_LIMIT_MS = 4_000L
    }
}
