/*
 * Start-time fair queueing over client accounts. Each account has a virtual start time; the backlogged account with the
 * smallest one is served next, and its start time advances by cost over weight. Inside an account, a request of higher
 * priority is placed ahead by a bounded time, so that no request starves.
 */
package org.bramleyspur.traffic.admission

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** An offer that waits; [rank] orders the offers of one account, lower first. */
internal data class Waiting(val offer: AttemptOffer, val arrivedMs: Long, val rank: Long)

/** The waiting offers of one account in rank order, and the virtual start time of the first. */
internal data class AccountQueue(val start: Double, val waiting: PersistentList<Waiting>)

/** Waiting offers of all accounts. */
internal data class FairQueue(
    val virtualTime: Double = 0.0,
    val accounts: PersistentMap<String, AccountQueue> = persistentMapOf(),
    val size: Int = 0,
) {
    fun add(offer: AttemptOffer, nowMs: Long): FairQueue {
        val account = account(offer.account)
        val bonus = offer.priority.coerceIn(-MAX_PRIORITY_STEPS, MAX_PRIORITY_STEPS) * PRIORITY_STEP_MS
        val waiting = Waiting(offer, nowMs, nowMs - bonus)
        val index = account.waiting.indexOfLast { it.rank <= waiting.rank } + 1
        val next = AccountQueue(startOf(account), account.waiting.add(index, waiting))
        return copy(accounts = accounts.put(offer.account, next), size = size + 1)
    }

    /** The next offer of an account that [eligible] accepts; of equal start times, the highest priority wins. */
    fun next(eligible: (String) -> Boolean): Waiting? {
        var best: AccountQueue? = null
        for ((name, queue) in accounts) {
            val first = queue.waiting.firstOrNull() ?: continue
            val chosen = best
            val wins = chosen == null || queue.start < chosen.start ||
                (queue.start == chosen.start && first.offer.priority > chosen.waiting[0].offer.priority)
            if (wins && eligible(name)) best = queue
        }
        return best?.waiting?.first()
    }

    /** Takes [waiting] out because it begins, and charges its account. */
    fun take(waiting: Waiting): FairQueue {
        val account = accounts.getValue(waiting.offer.account)
        val charged = AccountQueue(account.start + waiting.offer.virtualCost, account.waiting.remove(waiting))
        return copy(
            virtualTime = maxOf(virtualTime, account.start),
            accounts = accounts.put(waiting.offer.account, charged),
            size = size - 1,
        )
    }

    /** Takes [waiting] out without a charge. */
    fun remove(waiting: Waiting): FairQueue {
        val account = accounts.getValue(waiting.offer.account)
        val next = account.copy(waiting = account.waiting.remove(waiting))
        return copy(accounts = accounts.put(waiting.offer.account, next), size = size - 1)
    }

    fun find(key: AttemptKey): Waiting? =
        accounts.values.firstNotNullOfOrNull { queue -> queue.waiting.firstOrNull { it.offer.key == key } }

    fun all(): List<Waiting> = accounts.values.flatMap { it.waiting }

    /** Offers that would be served before a new offer of [name]. */
    fun ahead(name: String): Int {
        val mine = account(name)
        val start = startOf(mine) + mine.waiting.sumOf { it.offer.virtualCost }
        return accounts.entries.sumOf { (other, queue) ->
            if (other == name) queue.waiting.size else countBefore(queue, start)
        }
    }

    /** Forgets accounts without waiting offers whose charge lies in the past. */
    fun prune(): FairQueue = accounts.entries.filter { it.value.waiting.isEmpty() && it.value.start <= virtualTime }
        .fold(this) { queue, entry -> queue.copy(accounts = queue.accounts.remove(entry.key)) }

    private fun account(name: String) = accounts[name] ?: AccountQueue(virtualTime, persistentListOf())

    private fun startOf(account: AccountQueue): Double =
        if (account.waiting.isEmpty()) maxOf(virtualTime, account.start) else account.start

    private fun countBefore(queue: AccountQueue, start: Double): Int {
        var tag = queue.start
        var count = 0
        while (count < queue.waiting.size && tag <= start) {
            tag += queue.waiting[count].offer.virtualCost
            count++
        }
        return count
    }

    private companion object {
        /** One priority step moves a request ahead by a small part of the default patience of 300 ms. */
        const val PRIORITY_STEP_MS = 20L
        const val MAX_PRIORITY_STEPS = 5
    }
}

private val AttemptOffer.virtualCost: Double get() = cost.toDouble() / weight
