package org.bramleyspur.core.time

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Guards against a recurring timer, such as that of the time limits of connections, that ends after an error. */
class TimerServiceTest {
    @TestFactory
    fun `a recurring timer goes on after its action has thrown`() =
        listOf(IllegalStateException("fault"), StackOverflowError()).map { error ->
            DynamicTest.dynamicTest("${error::class.simpleName}") {
                val executor = Executors.newSingleThreadScheduledExecutor()
                val runs = CountDownLatch(3)
                val failures = CountDownLatch(3)
                ExecutorTimerService(executor) { failures.countDown() }.every(1) {
                    runs.countDown()
                    throw error
                }
                expectThat(runs.await(2, TimeUnit.SECONDS)).isTrue()
                expectThat(failures.await(2, TimeUnit.SECONDS)).isTrue()
                executor.shutdownNow()
            }
        }
}
