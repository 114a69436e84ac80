package org.bramleyspur.daemon.caller

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * How a [fakeEngine] runs a generation.
 *
 * @property closeAtToken position at which the engine closes the connection
 * @property pauseAtToken position at which the engine waits for [resume]
 * @property repeatEvents whether each event is followed by itself and by the previous event again
 * @property paddingChars additional characters in each event
 */
internal class EnginePlan(
    val tokens: Int,
    val closeAtToken: Int = Int.MAX_VALUE,
    val pauseAtToken: Int = Int.MAX_VALUE,
    val repeatEvents: Boolean = false,
    val paddingChars: Int = 0,
) {
    /** Number of tokens written so far. */
    val tokensWritten = AtomicInteger()

    /** Released by the test to continue a generation that waits at [pauseAtToken]. */
    val resume = CountDownLatch(1)
}

/** An engine that generates ` t0 t1 ...`, starting at the position of a resume request. */
internal fun fakeEngine(plan: EnginePlan) = FakeBackend {
    val body = bodyText()
    if (path == "/admin/cancel") {
        reply(200, """{"known":true,"began":true}""")
    } else {
        val from = Regex(""""position":(\d+)""").find(body)?.groupValues?.get(1)?.toInt() ?: 0
        generate(plan, from)
    }
}

private fun FakeCall.generate(plan: EnginePlan, from: Int) {
    write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    for (position in from until plan.tokens) {
        if (position == plan.closeAtToken) return close()
        if (position == plan.pauseAtToken) plan.resume.await(10, TimeUnit.SECONDS)
        event(tokenEvent(position, plan.paddingChars))
        plan.tokensWritten.incrementAndGet()
        if (plan.repeatEvents) event(tokenEvent(position, plan.paddingChars))
        if (plan.repeatEvents && position > 0) event(tokenEvent(position - 1, plan.paddingChars))
    }
    val usage = """{"prompt_tokens":3,"completion_tokens":${plan.tokens},"total_tokens":${plan.tokens + 3}}"""
    event("""{"position":${plan.tokens},"choices":[{"text":"","finish_reason":"stop"}],"usage":$usage}""")
    event("[DONE]")
    write("0\r\n\r\n")
}

private fun tokenEvent(position: Int, paddingChars: Int) = """{"padding":"${"x".repeat(
    paddingChars,
)}","position":$position,"choices":[{"index":0,"text":" t$position","finish_reason":null}]}"""

internal fun FakeCall.event(data: String) {
    val event = "data: $data\n\n"
    write("${event.length.toString(16)}\r\n$event\r\n")
}

/** Text of a complete generation of [count] tokens. */
internal fun generated(count: Int) = (0 until count).joinToString("") { " t$it" }
