/*
 * Limits the retries of one entry, so that overload or a faulty backend server causes no retry storm. Retries are at
 * most a fraction of the accepted requests plus a constant. Retries after refusals and after failures have separate
 * budgets: many refusals under overload must not use up the retries that resume the streams of a lost replica.
 */
package org.bramleyspur.traffic.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Why an attempt is retried; decides which budget the retry is counted against. */
enum class RetryCause {
    /** An agent refused the attempt, or it could not be written. */
    REFUSED,

    /** The attempt broke or its connection was lost. */
    FAILED,
}

/**
 * A token bucket that starts full with [reserve] retries and gains [permille] thousandths of a retry for each request.
 * Retries never exceed [reserve] plus that fraction of the requests. Not thread-safe.
 */
class RetryBudget(private val reserve: Int, private val permille: Int = DEFAULT_PERMILLE) {
    private var balancePermille = reserve * PERMILLE_PER_RETRY

    /** Counts a request and adds its fraction of a retry. */
    fun onRequest() {
        balancePermille = minOf(balancePermille + permille, reserve * PERMILLE_PER_RETRY)
    }

    /** Takes one retry; returns false when none is left. */
    fun tryTake(): Boolean {
        if (balancePermille < PERMILLE_PER_RETRY) return false
        balancePermille -= PERMILLE_PER_RETRY
        return true
    }

    companion object {
        /** Retries are at most 10% of the requests. */
        const val DEFAULT_PERMILLE = 100
        private const val PERMILLE_PER_RETRY = 1000L
    }
}

/**
 * The retry budgets of an entry. Retries after refusals are counted per account, since a large account that is refused
 * often would otherwise use up the retries of the others. Not thread-safe.
 */
class RetryBudgets(private val refusedReserve: Int = REFUSED_RESERVE, failedReserve: Int = FAILED_RESERVE) {
    private var refused: PersistentMap<String, RetryBudget> = persistentMapOf()
    private val failed = RetryBudget(failedReserve)

    /** Counts a request that a caller of [account] made. */
    fun onRequest(account: String) {
        refusedBudget(account).onRequest()
        failed.onRequest()
    }

    /** Takes one retry from the budget of [cause]; a first attempt (null) is not limited. */
    fun tryTake(cause: RetryCause?, account: String): Boolean = when (cause) {
        null -> true
        RetryCause.REFUSED -> refusedBudget(account).tryTake()
        RetryCause.FAILED -> failed.tryTake()
    }

    private fun refusedBudget(account: String): RetryBudget =
        refused[account] ?: RetryBudget(refusedReserve).also { refused = refused.put(account, it) }

    companion object {
        /** Retries per account; enough for a rolling restart at low load. */
        const val REFUSED_RESERVE = 10

        /** Streams that an entry may have on one replica; all need a resume at the same moment when it is lost. */
        const val FAILED_RESERVE = 128
    }
}
