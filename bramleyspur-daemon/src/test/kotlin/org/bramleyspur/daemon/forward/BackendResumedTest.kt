package org.bramleyspur.daemon.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains

/** Guards against a server that was only silent for a while and cannot be told from a dark one in the log. */
class BackendResumedTest : ForwardTest() {
    @Test
    fun `a backend server that goes on is logged with the time in which it was silent`() {
        startBackends(listOf(Script("", pauseMs = 300, afterPause = okResponse("late"))))
        sendWithoutReading("/once/1").use {
            while (backends[0].requests.isEmpty()) Thread.sleep(5)
            loops.traffic.submit { context.markUnresponsive(context.loads.loadOf(announced("b0"))!!) }.get()
            expectThat(logLines("backend-resumed").single()).contains("\"id\":\"b0\"")
        }
        expectThat(logLines("request").single()).contains("\"config_at_start\":1,\"config\":1")
    }

    private fun announced(id: String) = context.directory.backends.getValue(id).announcement
}
