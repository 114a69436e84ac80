package org.bramleyspur.daemon.caller

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** How a [fakeEngine] runs a generation. */
internal class EnginePlan(
    val tokens: Int,
    val breakAt: Int = Int.MAX_VALUE,
    val holdAt: Int = Int.MAX_VALUE,
    val repeat: Boolean = false,
    val padding: Int = 0,
) {
    /** Tokens written so far. */
    val written = AtomicInteger()

    /** Opened by the test to let a generation go on after token [holdAt]. */
    val hold = CountDownLatch(1)
}

/** An engine that generates `t0 t1 ...`, from the position that a resume names. */
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
        if (position == plan.breakAt) return close()
        if (position == plan.holdAt) plan.hold.await(10, TimeUnit.SECONDS)
        event(tokenEvent(position, plan.padding))
        plan.written.incrementAndGet()
        if (plan.repeat) event(tokenEvent(position, plan.padding))
        if (plan.repeat && position > 0) event(tokenEvent(position - 1, plan.padding))
    }
    val usage = """{"prompt_tokens":3,"completion_tokens":${plan.tokens},"total_tokens":${plan.tokens + 3}}"""
    event("""{"position":${plan.tokens},"choices":[{"text":"","finish_reason":"stop"}],"usage":$usage}""")
    event("[DONE]")
    write("0\r\n\r\n")
}

private fun tokenEvent(position: Int, padding: Int) = """{"padding":"${"x".repeat(
    padding,
)}","position":$position,"choices":[{"index":0,"text":" t$position","finish_reason":null}]}"""

internal fun FakeCall.event(data: String) {
    val event = "data: $data\n\n"
    write("${event.length.toString(16)}\r\n$event\r\n")
}

/** The text of a whole generation of [count] tokens. */
internal fun generated(count: Int) = (0 until count).joinToString("") { " t$it" }
