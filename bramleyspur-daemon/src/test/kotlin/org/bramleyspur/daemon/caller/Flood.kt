package org.bramleyspur.daemon.caller

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Responses without end of a [FakeBackend]. */
internal class Flood {
    /** Number of bytes that were written. */
    val bytes = AtomicLong()

    /** Number of responses whose connection the peer has not closed. */
    val open = AtomicInteger()

    /** Number of responses that were begun. */
    val begun = AtomicInteger()

    /** Sends [start] and then what [next] returns for 0, 1 and so on, until the connection is closed. */
    fun send(call: FakeCall, start: String, next: (Int) -> String) {
        call.write(start)
        open.incrementAndGet()
        begun.incrementAndGet()
        var index = 0
        try {
            while (true) {
                val part = buildString { while (length < PART_BYTES) append(next(index++)) }
                call.write(part)
                bytes.addAndGet(part.length.toLong())
            }
        } finally {
            open.decrementAndGet()
        }
    }

    /** Sends nothing until the connection is closed. */
    fun beSilent(call: FakeCall) {
        open.incrementAndGet()
        begun.incrementAndGet()
        try {
            call.awaitDisconnect()
        } finally {
            open.decrementAndGet()
        }
    }

    private companion object {
        const val PART_BYTES = 4_096
    }
}

/** A response without end: what precedes [next], which is sent for ever. */
internal class EndlessResponse(val name: String, val start: String, val next: String)

/** Responses whose head does not end. */
internal val ENDLESS_HEADS = listOf(
    EndlessResponse("a status line", "HTTP/1.1 200 ", "O"),
    EndlessResponse("line breaks before the status line", "", "\r\n"),
    EndlessResponse("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"),
    EndlessResponse("a header field", "HTTP/1.1 200 OK\r\nX-Field: ", "a"),
    EndlessResponse("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
)
