package org.bramleyspur.daemon.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import org.bramleyspur.core.time.ExecutorTimerService
import org.bramleyspur.core.time.TimerService
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * The two event loops of a process: one for control and one for traffic. All state is confined to one of them, and they
 * exchange immutable values, so no locks are needed.
 */
class EventLoops : AutoCloseable {
    /** Event loop group of the control thread. */
    val controlGroup = NioEventLoopGroup(1, DefaultThreadFactory("control"))

    /** Event loop group of the traffic thread. */
    val trafficGroup = NioEventLoopGroup(1, DefaultThreadFactory("traffic"))

    /** The control thread. */
    val control: EventLoop = controlGroup.next()

    /** The traffic thread. */
    val traffic: EventLoop = trafficGroup.next()

    /** Timers of the control thread. */
    val controlTimers: TimerService = ExecutorTimerService(control, ::logFailure)

    /** Timers of the traffic thread. */
    val trafficTimers: TimerService = ExecutorTimerService(traffic, ::logFailure)

    override fun close() {
        val futures = listOf(controlGroup, trafficGroup).map { it.shutdownGracefully(0, 1, TimeUnit.SECONDS) }
        futures.forEach { it.awaitUninterruptibly(SHUTDOWN_TIMEOUT_MS) }
    }

    private companion object {
        const val SHUTDOWN_TIMEOUT_MS = 2_000L
    }
}

private fun logFailure(cause: Throwable) {
    logger.error(cause) { "timer action failed; the timer keeps running" }
}
