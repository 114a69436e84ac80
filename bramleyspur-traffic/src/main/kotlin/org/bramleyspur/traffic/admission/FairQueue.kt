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

/** A queued attempt; [rank] orders the attempts of one account, lower first. */
internal data class QueuedAttempt(val offer: AttemptOffer, val receivedAtMs: Long, val rank: Long)

/** The queued attempts of one account in rank order, and the virtual start time of the first. */
internal data class AccountQueue(val start: Double, val waiting: PersistentList<QueuedAttempt>)

/** Queued attempts of all accounts. */
internal data class FairQueue(
    val virtualTime: Double = 0.0,
    val accounts: PersistentMap<String, AccountQueue> = persistentMapOf(),
    val size: Int = 0,
) {
    fun add(offer: AttemptOffer, nowMs: Long): FairQueue {
        val account = account(offer.account)
        val advanceMs = offer.priority.coerceIn(-MAX_PRIORITY_STEPS, MAX_PRIORITY_STEPS) * PRIORITY_STEP_MS
        val waiting = QueuedAttempt(offer, nowMs, nowMs - advanceMs)
        val index = account.waiting.indexOfLast { it.rank <= waiting.rank } + 1
        val next = AccountQueue(startOf(account), account.waiting.add(index, waiting))
        return copy(accounts = accounts.put(offer.account, next), size = size + 1)
    }

    /** Returns the next attempt of an [eligible] account; of equal start times, the highest priority wins. */
    fun next(eligible: (String) -> Boolean): QueuedAttempt? {
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

    /** Removes [waiting] because it begins, and charges its account. */
    fun take(waiting: QueuedAttempt): FairQueue {
        val account = accounts.getValue(waiting.offer.account)
        val charged = AccountQueue(account.start + waiting.offer.virtualCost, account.waiting.remove(waiting))
        return copy(
            virtualTime = maxOf(virtualTime, account.start),
            accounts = accounts.put(waiting.offer.account, charged),
            size = size - 1,
        )
    }

    /** Removes [waiting] without charging its account. */
    fun remove(waiting: QueuedAttempt): FairQueue {
        val account = accounts.getValue(waiting.offer.account)
        val next = account.copy(waiting = account.waiting.remove(waiting))
        return copy(accounts = accounts.put(waiting.offer.account, next), size = size - 1)
    }

    fun find(key: AttemptKey): QueuedAttempt? =
        accounts.values.firstNotNullOfOrNull { queue -> queue.waiting.firstOrNull { it.offer.key == key } }

    fun all(): List<QueuedAttempt> = accounts.values.flatMap { it.waiting }

    /** Returns how many attempts would be served before a new one of account [name]. */
    fun countAhead(name: String): Int {
        val own = account(name)
        val start = startOf(own) + own.waiting.sumOf { it.offer.virtualCost }
        return accounts.entries.sumOf { (other, queue) ->
            if (other == name) queue.waiting.size else countBefore(queue, start)
        }
    }

    /** Removes accounts without queued attempts whose start time has been reached. */
    fun prune(): FairQueue = accounts.entries.filter { it.value.waiting.isEmpty() && it.value.start <= virtualTime }
        .fold(this) { queue, entry -> queue.copy(accounts = queue.accounts.remove(entry.key)) }

    private fun account(name: String) = accounts[name] ?: AccountQueue(virtualTime, persistentListOf())

    private fun startOf(account: AccountQueue): Double =
        if (account.waiting.isEmpty()) maxOf(virtualTime, account.start) else account.start

    private fun countBefore(queue: AccountQueue, start: Double): Int {
        var virtualStart = queue.start
        var count = 0
        while (count < queue.waiting.size && virtualStart <= start) {
            virtualStart += queue.waiting[count].offer.virtualCost
            count++
        }
        return count
    }

    private companion object {
        /** One priority step advances a request by a small part of the default patience of 300 ms. */
        const val PRIORITY_STEP_MS = 20L
        const val MAX_PRIORITY_STEPS = 5
    }
}

private val AttemptOffer.virtualCost: Double get() = cost.toDouble() / weight
