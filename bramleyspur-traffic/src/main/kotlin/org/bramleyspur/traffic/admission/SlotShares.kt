/*
 * Division of the slots among accounts. A running generation cannot be preempted, so fair queueing alone would let a
 * large account hold every slot while a small one waits for a whole generation to end. An account above its fair share
 * therefore leaves free the slots that the other accounts use on average. The cost is idle slots while those accounts
 * use less than their average; the reserve is pooled over them to keep it small.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.sqrt

/** Use of the slots by one account; [demand] is the moving average of its running and waiting attempts. */
internal data class AccountUse(
    val weight: Int,
    val running: Int = 0,
    val waiting: Int = 0,
    val demand: Double = 0.0,
    val updatedMs: Long = 0,
) {
    fun at(nowMs: Long): AccountUse {
        val keep = exp(-(nowMs - updatedMs).coerceAtLeast(0) / DEMAND_TIME_MS)
        return copy(demand = demand * keep + (running + waiting) * (1 - keep), updatedMs = nowMs)
    }

    val isIdle: Boolean get() = running == 0 && waiting == 0 && demand < NEGLIGIBLE_DEMAND

    private companion object {
        /** Long against one generation, short against a change of load over minutes. */
        const val DEMAND_TIME_MS = 10_000.0
        const val NEGLIGIBLE_DEMAND = 0.02
    }
}

/** Use of the slots by all accounts. */
internal data class SlotShares(val accounts: PersistentMap<String, AccountUse> = persistentMapOf()) {
    fun change(offer: AttemptOffer, nowMs: Long, running: Int = 0, waiting: Int = 0): SlotShares {
        val use = (accounts[offer.account] ?: AccountUse(offer.weight, updatedMs = nowMs)).at(nowMs)
        val next = use.copy(weight = offer.weight, running = use.running + running, waiting = use.waiting + waiting)
        return SlotShares(accounts.put(offer.account, next))
    }

    /** Slots that must stay free when an attempt of [account] begins. */
    fun reserveAgainst(account: String, slots: Int, nowMs: Long): Int {
        val weights = accounts.values.sumOf { if (it.isIdle) 0 else it.weight }.coerceAtLeast(1)
        val mine = accounts[account] ?: return 0
        val fairShare = maxOf(1.0, slots.toDouble() * mine.weight / weights)
        if (mine.running < fairShare || mine.at(nowMs).demand < fairShare * LARGE_DEMAND) return 0
        var expected = 0.0
        var used = 0.0
        var fairShares = 0.0
        for ((name, use) in accounts) {
            if (name == account || use.isIdle) continue
            val fair = slots.toDouble() * use.weight / weights
            fairShares += fair
            expected += minOf(use.at(nowMs).demand, fair)
            used += minOf(use.running.toDouble(), fair)
        }
        val wanted = minOf(expected + sqrt(expected) * VARIATION, fairShares)
        return ceil(wanted - used - ROUNDING).toInt().coerceIn(0, slots - 1)
    }

    fun prune(nowMs: Long): SlotShares = accounts.entries.fold(this) { shares, (name, use) ->
        if (use.at(nowMs).isIdle) SlotShares(shares.accounts.remove(name)) else shares
    }

    private companion object {
        /**
         * An account whose average demand is this many times its fair share is large. Without the margin, accounts of
         * equal size would reserve slots against one another, which lowered the goodput by a quarter.
         */
        const val LARGE_DEMAND = 1.2

        /** Standard deviations of the other accounts' use, taken as Poisson, that are kept free above its average. */
        const val VARIATION = 2.0

        /** A tenth of a slot of average use is not worth a whole reserved slot. */
        const val ROUNDING = 0.1
    }
}
