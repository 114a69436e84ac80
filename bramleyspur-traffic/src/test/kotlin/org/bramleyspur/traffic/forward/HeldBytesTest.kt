package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against memory that grows with the number of callers that stop reading. */
class HeldBytesTest {
    private data class Limit(val bodies: Long, val responses: Long, val callerLimit: Int)

    @TestFactory
    fun `a caller's limit falls with the free bytes`() = listOf(
        Limit(0, 0, 64 * 1024),
        Limit(0, 20L * MIB, 64 * 1024),
        Limit(0, 23L * MIB, 16 * 1024),
        Limit(12L * MIB, 11L * MIB, 16 * 1024),
        Limit(0, 24L * MIB - 1, 2 * 1024),
        Limit(0, 40L * MIB, 2 * 1024),
    ).map {
        DynamicTest.dynamicTest("$it") {
            expectThat(HeldBytes(BOUND, it.bodies, it.responses).callerLimitBytes()).isEqualTo(it.callerLimit)
        }
    }

    /** Every caller fills its limit at each step, as callers do that have stopped reading in mid-stream. */
    @TestFactory
    fun `callers that stop reading stay within the bound`() = listOf(10, 100, 400, 1_000, 4_000).map { callers ->
        DynamicTest.dynamicTest("$callers callers") {
            val held = LongArray(callers)
            repeat(200) {
                for (i in held.indices) {
                    val limit = HeldBytes(BOUND, responseBytes = held.sum()).callerLimitBytes()
                    if (held[i] < limit) held[i] += CHUNK
                }
            }
            expectThat(held.sum()).isLessThanOrEqualTo(BOUND)
        }
    }

    @TestFactory
    fun `a body is read while it fits`() = listOf(
        Triple(0L, 4L * MIB, true),
        Triple(20L * MIB, 4L * MIB, true),
        Triple(20L * MIB, 4L * MIB + 1, false),
        Triple(30L * MIB, 0L, true),
    ).map { (held, body, taken) ->
        DynamicTest.dynamicTest("$held held, $body more") {
            expectThat(HeldBytes(BOUND, responseBytes = held).takesBody(body)).isEqualTo(taken)
        }
    }

    private companion object {
        const val MIB = 1024 * 1024
        const val BOUND = 24L * MIB
        const val CHUNK = 1024L
    }
}
