/*
 * Timers and clock for all components of a process. Components use the timer service of their thread and never sleep or
 * read the system clock themselves, so that tests can drive them with a simulated clock.
 */
package org.bramleyspur.core.time

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** A pending or recurring timer. */
fun interface TimerHandle {
    /** Cancels the timer; has no effect when it has already run. */
    fun cancel()
}

/** Timers that run their actions on one thread. */
interface TimerService {
    /** Monotonic time in milliseconds since an arbitrary origin. */
    fun nowMs(): Long

    /** Runs [action] once after [delayMs] milliseconds. */
    fun after(delayMs: Long, action: () -> Unit): TimerHandle

    /** Runs [action] every [periodMs] milliseconds, first after one period. */
    fun every(periodMs: Long, action: () -> Unit): TimerHandle
}

/**
 * Timers on [executor], whose single thread runs all actions. A Netty event loop is such an executor.
 *
 * @property onFailure receives what an action throws; a recurring timer keeps running afterwards
 */
class ExecutorTimerService(
    private val executor: ScheduledExecutorService,
    private val onFailure: (Throwable) -> Unit,
) : TimerService {
    override fun nowMs(): Long = monotonicMs()

    override fun after(delayMs: Long, action: () -> Unit): TimerHandle {
        val future = executor.schedule({ runAndReport(action) }, delayMs, TimeUnit.MILLISECONDS)
        return TimerHandle { future.cancel(false) }
    }

    override fun every(periodMs: Long, action: () -> Unit): TimerHandle {
        val future =
            executor.scheduleWithFixedDelay({ runAndReport(action) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
        return TimerHandle { future.cancel(false) }
    }

    @Suppress("TooGenericExceptionCaught") // Neither an exception nor an error must end a recurring timer.
    private fun runAndReport(action: () -> Unit) {
        try {
            action()
        } catch (e: Throwable) {
            onFailure(e)
        }
    }
}

/** Monotonic time in milliseconds. */
fun monotonicMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
