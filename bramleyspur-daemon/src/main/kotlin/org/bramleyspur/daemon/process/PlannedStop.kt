package org.bramleyspur.daemon.process

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** A process in one role, with the operations of a planned stop. */
interface RoleProcess {
    /** Fails readiness, so that the load balancer and the control leader send no new work. */
    fun beginStop()

    /** Closes the listeners for new work; running work continues. */
    fun closeListeners()

    /** Whether all running work has finished. */
    fun isDrained(): Boolean

    /** Releases all resources. */
    fun close()
}

/**
 * Runs the planned stop of [role]: readiness fails first, the listeners close after [graceMs], and the process ends
 * when everything has finished or after [drainTimeoutMs].
 */
internal fun runPlannedStop(role: RoleProcess, graceMs: Long, drainTimeoutMs: Long) {
    logger.info { "planned stop: readiness fails from now on; closing the listeners in $graceMs ms" }
    role.beginStop()
    Thread.sleep(graceMs)
    role.closeListeners()
    val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(drainTimeoutMs)
    while (!role.isDrained() && System.nanoTime() < deadlineNs) Thread.sleep(DRAIN_POLL_INTERVAL_MS)
    if (!role.isDrained()) logger.warn { "requests still running after $drainTimeoutMs ms; aborting them" }
    role.close()
    logger.info { "stopped" }
}

/** Waits for SIGTERM or SIGINT, runs the planned stop, and lets the process exit with status 0. */
fun awaitPlannedStop(role: RoleProcess, graceMs: Long, drainTimeoutMs: Long) {
    val requested = CountDownLatch(1)
    val stopped = CountDownLatch(1)
    val hook = Thread({
        requested.countDown()
        stopped.await()
        // After a shutdown hook, the JVM exits with 128 + signal unless it is halted with another status.
        Runtime.getRuntime().halt(0)
    }, "planned-stop")
    Runtime.getRuntime().addShutdownHook(hook)
    requested.await()
    runPlannedStop(role, graceMs, drainTimeoutMs)
    stopped.countDown()
}

private const val DRAIN_POLL_INTERVAL_MS = 20L
