/*
 * Limit of the retries of one entry, so that overload or a faulty backend server causes no retry storm. Retries are a
 * fraction of the requests accepted so far plus a constant. Retries after refusals and after failures have separate
 * budgets: a wave of refusals under overload must not use up what resumes the streams of a lost replica.
 */
package org.bramleyspur.traffic.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What a retry follows, which decides the budget that pays for it. */
enum class RetryCause {
    /** An agent refused the attempt, or it could not be written. */
    REFUSED,

    /** The attempt broke or its connection was lost. */
    FAILED,
}

/**
 * A token bucket that starts full with [reserve] retries and gains [permille] thousandths of a retry for each request.
 * Retries never exceed [reserve] plus that fraction of the requests. Used by one thread.
 */
class RetryBudget(private val reserve: Int, private val permille: Int = DEFAULT_PERMILLE) {
    private var balance = reserve * WHOLE

    /** Counts a request that a caller made. */
    fun onRequest() {
        balance = minOf(balance + permille, reserve * WHOLE)
    }

    /** Takes one retry; false when none is left. */
    fun tryTake(): Boolean {
        if (balance < WHOLE) return false
        balance -= WHOLE
        return true
    }

    companion object {
        /** Retries are at most 10% of the requests. */
        const val DEFAULT_PERMILLE = 100
        private const val WHOLE = 1000L
    }
}

/**
 * The retry budgets of an entry. Retries after refusals are counted by account, since a large account that is refused
 * often would otherwise leave none to the others. Used by one thread.
 */
class RetryBudgets(private val refusedReserve: Int = REFUSED_RESERVE, failedReserve: Int = FAILED_RESERVE) {
    private var refused: PersistentMap<String, RetryBudget> = persistentMapOf()
    private val failed = RetryBudget(failedReserve)

    /** Counts a request that a caller of [account] made. */
    fun onRequest(account: String) {
        refusedBudget(account).onRequest()
        failed.onRequest()
    }

    /** Takes one retry from the budget of [cause]; a first attempt (null) costs nothing. */
    fun tryTake(cause: RetryCause?, account: String): Boolean = when (cause) {
        null -> true
        RetryCause.REFUSED -> refusedBudget(account).tryTake()
        RetryCause.FAILED -> failed.tryTake()
    }

    private fun refusedBudget(account: String): RetryBudget =
        refused[account] ?: RetryBudget(refusedReserve).also { refused = refused.put(account, it) }

    companion object {
        /** Enough for a rolling restart at low load. */
        const val REFUSED_RESERVE = 10

        /** Streams that an entry may hold on one lost replica: they break in the same moment and all need a resume. */
        const val FAILED_RESERVE = 128
    }
}
