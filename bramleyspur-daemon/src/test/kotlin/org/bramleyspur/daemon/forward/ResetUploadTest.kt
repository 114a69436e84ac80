package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.daemon.caller.FakeBackend
import org.bramleyspur.daemon.caller.FakeCall
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import kotlin.random.Random

/**
 * Guards against a response without a length whose connection is reset while the request is still being sent, and that
 * reaches the caller as complete.
 */
class ResetUploadTest : ForwardTest() {
    private val body = "u".repeat(BODY_BYTES)
    private val events = listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")

    private fun head(framing: String) = "HTTP/1.1 200 OK\r\n$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s\r\n$framing\r\n"

    /** Starts a backend server for each of [responses] that answers before it has read the request's body. */
    private fun startEngines(vararg responses: FakeCall.() -> Unit, test: (List<FakeBackend>) -> Unit) {
        val engines = responses.map { FakeBackend(RECEIVE_BUFFER_BYTES, it) }
        try {
            apply(
                document.copy(limits = ClientLimits(maxBodyBytes = BODY_BYTES)),
                engines.mapIndexed { index, engine -> announcement(index, "127.0.0.1:${engine.port}") },
            )
            test(engines)
        } finally {
            engines.forEach { it.close() }
        }
    }

    private fun FakeCall.answerAndReset(text: String) {
        write(text)
        Thread.sleep(PAUSE_MS)
        reset()
    }

    private fun FakeCall.answerAndEnd(text: String) {
        write(text)
        Thread.sleep(PAUSE_MS)
        endOutput()
        Thread.sleep(PAUSE_MS)
    }

    private class Framing(val name: String, val header: String)

    private val framings = listOf(
        Framing("no header", ""),
        Framing("connection: close", "Connection: close\r\n"),
    )

    @TestFactory
    fun `a response that is reset during the upload is not complete`() = framings.flatMap { framing ->
        listOf("/once/", "/again/", "/stream/").map { path ->
            DynamicTest.dynamicTest("${framing.name}, $path") {
                startEngines({ answerAndReset(head(framing.header) + events[0]) }) {
                    val response = post(path, body = body)
                    expectThat(response?.status == 200 && response.complete).isEqualTo(false)
                }
            }
        }
    }

    @TestFactory
    fun `a stream that is reset during the upload is continued`() = framings.map { framing ->
        DynamicTest.dynamicTest(framing.name) {
            startEngines(
                { answerAndReset(head(framing.header) + events[0]) },
                {
                    readBody()
                    write(streamResponse(events[1], complete = true))
                },
            ) { engines ->
                val response = post("/stream/", body = body)
                expectThat(response?.body).isEqualTo(events.joinToString(""))
                expectThat(response?.complete).isEqualTo(true)
                expectThat(engines[1].requestHeads.single()).contains("Last-Event-Id: 1\r\n")
            }
        }
    }

    /**
     * Guards against a cut response that looks complete: if an engine crashes when it has read all that has arrived,
     * its host ends the connection in order, although the rest of the request is still on its way.
     */
    @TestFactory
    fun `a success that ends before the request is sent is not complete`() = framings.flatMap { framing ->
        listOf("/once/", "/again/", "/stream/").map { path ->
            DynamicTest.dynamicTest("${framing.name}, $path") {
                startEngines({ answerAndEnd(head(framing.header) + events[0]) }) {
                    val response = post(path, body = body)
                    expectThat(response?.status == 200 && response.complete).isEqualTo(false)
                }
            }
        }
    }

    /** Guards against a rule that breaks off a refusal since the engine does not read a request that it refuses. */
    @TestFactory
    fun `a failure that ends before the request is sent is complete`() = listOf(400, 413).map { status ->
        DynamicTest.dynamicTest("$status") {
            startEngines({ answerAndEnd(head("").replace("200 OK", "$status Any") + "too large") }) {
                val response = post("/once/", body = body)
                expectThat(response?.status).isEqualTo(status)
                expectThat(response?.body).isEqualTo("too large")
                expectThat(response?.complete).isEqualTo(true)
            }
        }
    }

    /** Guards against a rule that breaks off what an engine has ended in order. */
    @TestFactory
    fun `a response without a length that ends in order is complete`() = framings.flatMap { framing ->
        listOf("/once/", "/again/", "/stream/").map { path ->
            DynamicTest.dynamicTest("${framing.name}, $path") {
                startEngines({
                    write(head(framing.header) + events[0])
                    readBody()
                    write(events[1])
                    close()
                }) {
                    val response = post(path, body = body)
                    expectThat(response?.status).isEqualTo(200)
                    expectThat(response?.body).isEqualTo(events.joinToString(""))
                    expectThat(response?.complete).isEqualTo(true)
                }
            }
        }
    }

    /** Guards against a rule that breaks off an answer since the engine reads the request after it. */
    @TestFactory
    fun `a response with a length before the upload is complete`() = listOf(200, 413, 500).map { status ->
        DynamicTest.dynamicTest("$status") {
            startEngines({
                write(okResponse("hello").replace("200 OK", "$status Any"))
                Thread.sleep(PAUSE_MS)
                readBody()
            }) {
                val response = post("/once/", body = body)
                expectThat(response?.status).isEqualTo(status)
                expectThat(response?.body).isEqualTo("hello")
                expectThat(response?.complete).isEqualTo(true)
            }
        }
    }

    /** An engine that reads a part of the upload and sends events in pieces, before it ends in order or by a reset. */
    private inner class Play(seed: Long) {
        private val random = Random(seed)
        val path = listOf("/once/", "/again/", "/stream/").random(random)
        val bodyBytes = random.nextInt(1, BODY_BYTES)
        val resets = random.nextBoolean()
        val events = List(random.nextInt(1, 6)) { "id: ${it + 1}\ndata: ${"d".repeat(random.nextInt(0, 4_000))}\n\n" }
        private val readsFirst = random.nextInt(3) == 0
        private val pieceBytes = random.nextInt(1, 8_000)
        private val pausesMs = List(3) { random.nextLong(0, 8) }

        fun respond(call: FakeCall) = with(call) {
            if (readsFirst) readBody()
            (head("") + events.joinToString("")).chunked(pieceBytes).forEachIndexed { index, piece ->
                write(piece)
                if (index < pausesMs.size) Thread.sleep(pausesMs[index])
            }
            if (resets) {
                reset()
            } else {
                if (!readsFirst) readBody()
                close()
            }
        }
    }

    @TestFactory
    fun `a response is complete only if it ends in order`() = (1..seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val play = Play(seed)
            startEngines({ play.respond(this) }) {
                val response = post(play.path, body = body.take(play.bodyBytes))
                val complete = response?.status == 200 && response.complete
                expectThat(complete).isEqualTo(!play.resets)
                if (complete) expectThat(response?.body).isEqualTo(play.events.joinToString(""))
            }
        }
    }

    private companion object {
        val seeds: Long = System.getProperty("reset.upload.seeds", "20").toLong()

        /** More than the network buffers. */
        const val BODY_BYTES = 8_000_000
        const val RECEIVE_BUFFER_BYTES = 64 * 1024
        const val PAUSE_MS = 200L
    }
}
