package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.RouteKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a request on a reused connection that is sent twice unseen, or is refused though it was received. */
class ReusedConnectionTest : ForwardTest() {
    private lateinit var server: ScriptedBackend

    /** Opens a connection that is reused, and sends a request whose response is [second]. */
    private fun sendOnReused(second: (head: String) -> Script): Int {
        server = ScriptedBackend(listOf({ Script(okResponse("first")) }, second, { Script(okResponse("again")) }))
        startServices(document(listOf(route("/again/", RouteKind.IDEMPOTENT, 2))), mapOf("s" to listOf(server)))
        expectThat(post("/again/")!!.body).isEqualTo("first")
        return post("/again/")!!.status
    }

    @Test
    fun `a request is sent again on a new connection when the reused one was closed`() {
        expectThat(sendOnReused { Script("", close = true) }).isEqualTo(200)
        expectThat(server.requests.size).isEqualTo(3)
    }

    /** Guards against a second send that the retry budget does not know, with the time that was left at the first. */
    @Test
    fun `a request whose server was silent before it closed the connection is not sent again beside the budget`() {
        expectThat(sendOnReused { Script("", pauseMs = 700, close = true) }).isEqualTo(502)
        expectThat(server.requests.size).isEqualTo(2)
    }

    @Test
    fun `a request that reached a server is not refused as not run when a new connection fails`() {
        val status = sendOnReused {
            server.close()
            Script("", close = true)
        }
        expectThat(status).isEqualTo(502)
    }
}
