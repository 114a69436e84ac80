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
