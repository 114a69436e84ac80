/*
 * The first member's check that its group is complete: it polls the state of every other member.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Watches the group of an order; calls [onIncomplete] when a complete group becomes incomplete. Must be called on
 * [eventLoop] only.
 */
internal class GroupCheck(
    private val eventLoop: EventLoop,
    private val settings: EngineSettings,
    private val onIncomplete: () -> Unit,
) {
    private var order: Order? = null
    private var probes = emptyList<MemberProbe>()
    private var timerStarted = false

    /** Whether every other member has responded as expected within the group timeout. */
    var complete = true
        private set

    /** Watches the members of [next] instead of those of the previous order. */
    fun watch(next: Order) {
        val previous = order
        order = next
        val addresses = if (next.role == EngineRole.FIRST) next.members.drop(1) else emptyList()
        if (previous != null && previous.members == next.members && previous.role == next.role) return
        probes.forEach { it.close() }
        probes = addresses.map { MemberProbe(it, eventLoop) }
        complete = probes.isEmpty()
        if (!timerStarted) {
            timerStarted = true
            eventLoop.scheduleAtFixedRate(::checkMembers, 0, settings.groupCheckMs, TimeUnit.MILLISECONDS)
        }
    }

    private fun checkMembers() {
        val expected = order ?: return
        val timeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.groupTimeoutMs)
        val wasComplete = complete
        complete = probes.all { it.confirms(expected, timeoutNanos) }
        if (wasComplete && !complete) onIncomplete()
        probes.forEach { it.poll() }
    }
}
