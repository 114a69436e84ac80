/*
 * Enforces the accounts' limits on concurrent requests at one entry. The control leader leases each entry a share of a
 * limit, and the sum of the shares never exceeds it, so an entry admits requests within its share without a call to
 * the leader.
 */
package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Requests of one account at an entry: those in flight now, and those refused since the last report. */
data class AccountDemandCount(val inFlight: Int, val refused: Int)

/** Concurrency shares of one entry. Not thread-safe; times are monotonic milliseconds. */
class AccountLimits {
    private var shares: PersistentMap<String, Int> = persistentMapOf()
    private var validUntilMs = 0L
    private var demands: PersistentMap<String, AccountDemandCount> = persistentMapOf()

    /** Requests in flight over all accounts; may be read by any thread. */
    @Volatile
    var totalInFlight = 0
        private set

    /** Sets the leased shares by account, which are valid until [validUntilMs]. */
    fun setShares(shares: PersistentMap<String, Int>, validUntilMs: Long) {
        this.shares = shares
        this.validUntilMs = validUntilMs
    }

    /**
     * Admits a request of [account], or refuses it because the share is used up. [maxConcurrent] is the account's
     * limit, 0 for none. A limited account without a valid share has a share of 0.
     */
    fun tryAcquire(account: String, maxConcurrent: Int, nowMs: Long): Boolean {
        val demand = demands[account] ?: AccountDemandCount(0, 0)
        val share = if (nowMs < validUntilMs) shares[account] ?: 0 else 0
        val admitted = maxConcurrent == 0 || demand.inFlight < share
        val next = if (admitted) {
            demand.copy(inFlight = demand.inFlight + 1)
        } else {
            demand.copy(refused = demand.refused + 1)
        }
        demands = demands.put(account, next)
        if (admitted) totalInFlight += 1
        return admitted
    }

    /** Releases the share that an admitted request of [account] has used. */
    fun release(account: String) {
        val demand = demands[account] ?: return
        totalInFlight -= 1
        demands = demands.put(account, demand.copy(inFlight = demand.inFlight - 1))
    }

    /** Returns the demand by account for the next heartbeat and resets the refusal counts. */
    fun drainDemand(): PersistentMap<String, AccountDemandCount> {
        val reported = demands
        demands = reported.entries.fold(reported) { next, (account, demand) ->
            if (demand.inFlight == 0) next.remove(account) else next.put(account, demand.copy(refused = 0))
        }
        return reported
    }
}
