/*
 * Reserves slots between accounts. A running generation cannot be preempted, so with fair queueing alone a large
 * account could hold every slot while a small one waits for a whole generation to end. An account above its fair share
 * therefore leaves free the slots that the other accounts use on average. The cost is idle slots while those accounts
 * use less than their average; the reserve is pooled over them to keep it small.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.sqrt

/** Slot use of one account; [demand] is the moving average of its running and queued attempts. */
internal data class AccountUse(
    val weight: Int,
    val running: Int = 0,
    val waiting: Int = 0,
    val demand: Double = 0.0,
    val updatedAtMs: Long = 0,
) {
    fun updatedTo(nowMs: Long): AccountUse {
        val oldWeight = exp(-(nowMs - updatedAtMs).coerceAtLeast(0) / DEMAND_DECAY_MS)
        return copy(demand = demand * oldWeight + (running + waiting) * (1 - oldWeight), updatedAtMs = nowMs)
    }

    val isIdle: Boolean get() = running == 0 && waiting == 0 && demand < NEGLIGIBLE_DEMAND

    private companion object {
        /** Time constant of the demand: longer than one generation, shorter than load changes over minutes. */
        const val DEMAND_DECAY_MS = 10_000.0
        const val NEGLIGIBLE_DEMAND = 0.02
    }
}

/** Slot use of all accounts. */
internal data class SlotShares(val accounts: PersistentMap<String, AccountUse> = persistentMapOf()) {
    fun change(offer: AttemptOffer, nowMs: Long, running: Int = 0, waiting: Int = 0): SlotShares {
        val use = (accounts[offer.account] ?: AccountUse(offer.weight, updatedAtMs = nowMs)).updatedTo(nowMs)
        val next = use.copy(weight = offer.weight, running = use.running + running, waiting = use.waiting + waiting)
        return SlotShares(accounts.put(offer.account, next))
    }

    /** Returns how many slots must stay free when an attempt of [account] begins. */
    fun reserveAgainst(account: String, slots: Int, nowMs: Long): Int {
        val weights = accounts.values.sumOf { if (it.isIdle) 0 else it.weight }.coerceAtLeast(1)
        val own = accounts[account] ?: return 0
        val fairShare = maxOf(1.0, slots.toDouble() * own.weight / weights)
        if (own.running < fairShare || own.updatedTo(nowMs).demand < fairShare * LARGE_DEMAND_RATIO) return 0
        var expected = 0.0
        var used = 0.0
        var otherFairShares = 0.0
        for ((name, use) in accounts) {
            if (name == account || use.isIdle) continue
            val fair = slots.toDouble() * use.weight / weights
            otherFairShares += fair
            expected += minOf(use.updatedTo(nowMs).demand, fair)
            used += minOf(use.running.toDouble(), fair)
        }
        val reserve = minOf(expected + sqrt(expected) * RESERVE_DEVIATIONS, otherFairShares)
        return ceil(reserve - used - ROUNDING_TOLERANCE).toInt().coerceIn(0, slots - 1)
    }

    fun prune(nowMs: Long): SlotShares = accounts.entries.fold(this) { shares, (name, use) ->
        if (use.updatedTo(nowMs).isIdle) SlotShares(shares.accounts.remove(name)) else shares
    }

    private companion object {
        /**
         * Average demand, relative to the fair share, from which an account counts as large. Without this margin,
         * accounts of equal size reserve slots against one another, which reduces the goodput by a quarter.
         */
        const val LARGE_DEMAND_RATIO = 1.2

        /** Standard deviations above the average use of the other accounts, assumed Poisson, that are kept free. */
        const val RESERVE_DEVIATIONS = 2.0

        /** Up to a tenth of a slot of average use does not reserve a whole slot. */
        const val ROUNDING_TOLERANCE = 0.1
    }
}
