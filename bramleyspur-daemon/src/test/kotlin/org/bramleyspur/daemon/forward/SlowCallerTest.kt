package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a backend server that counts as silent while the entry does not read, since its caller is slow. */
class SlowCallerTest : ForwardTest() {
    private val text = "a".repeat(16 * 1024)
    private val event = "data:$text\n\n".let { "${it.length.toString(16)}\r\n$it\r\n" }
    private val head = streamResponse(complete = false)

    @Test
    fun `a server whose caller reads slowly is not silent`() {
        startBackends(listOf(Script(head, endlessly = event)), listOf(Script(okResponse("other"))))
        sendWithoutReading("/stream/").use {
            Thread.sleep(PAUSE_MS)
            val otherRequests = backends[1].requests.size
            expectThat(stalled() to otherRequests).isEqualTo(emptyList<String>() to 0)
        }
    }

    private fun stalled() = loops.traffic.submit<List<String>> { context.loads.markStalled().map { it.id } }.get()

    private companion object {
        const val PAUSE_MS = 1_500L
    }
}
