/*
 * The first member's check that its group is whole: it polls the state of every other member.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Watches the group of an order; [onBroken] is called when a whole group stops being whole. On [loop] only. */
internal class GroupCheck(
    private val loop: EventLoop,
    private val settings: EngineSettings,
    private val onBroken: () -> Unit,
) {
    private var order: Order? = null
    private var probes = emptyList<MemberProbe>()
    private var ticking = false

    /** Whether every other member has answered as expected lately. */
    var complete = true
        private set

    /** Watches the members of [next] from now on. */
    fun watch(next: Order) {
        val previous = order
        order = next
        val addresses = if (next.role == EngineRole.FIRST) next.members.drop(1) else emptyList()
        if (previous != null && previous.members == next.members && previous.role == next.role) return
        probes.forEach { it.close() }
        probes = addresses.map { MemberProbe(it, loop) }
        complete = probes.isEmpty()
        if (!ticking) {
            ticking = true
            loop.scheduleAtFixedRate(::tick, 0, settings.groupCheckMs, TimeUnit.MILLISECONDS)
        }
    }

    private fun tick() {
        val expected = order ?: return
        val timeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.groupTimeoutMs)
        val wasComplete = complete
        complete = probes.all { it.confirms(expected, timeoutNanos) }
        if (wasComplete && !complete) onBroken()
        probes.forEach { it.ask() }
    }
}
