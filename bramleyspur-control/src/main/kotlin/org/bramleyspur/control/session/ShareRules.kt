/*
 * Division of an account's limit of concurrent requests over the entries. The sum of what all holders can act on never
 * exceeds the limit: a share changes only after the holder has reported the last one, it is raised only by what no
 * other holder can still use, and a holder that is silent counts until its lease has surely ended.
 */
package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.model.Account

/** Gives the entry of [session] its shares; [leased] tells whether this answer renews its lease. */
internal fun SessionState.shareOut(session: Session, leased: Boolean, nowMs: Long): ShareResult {
    if (session.announcement.role != ProcessRole.ENTRY) return ShareResult(this, emptyMap())
    val holder = session.holder()
    val current = copy(holdings = liveHoldings(nowMs))
    val known = current.holdings[holder] ?: current.adopted(session, nowMs)
    val uses = session.report?.uses.orEmpty()
    val reported = known.learn(uses)
    val limited = configuration.accounts.values.filter { it.maxConcurrent > 0 }
    val shares = limited.associate { it.name to current.share(it, holder, reported, uses[it.name], nowMs) }
    val updated = reported.copy(
        sent = shares.toPersistentMap(),
        ceiling = shares.mapValues { (name, share) -> maxOf(share, reported.ceiling[name] ?: 0) }.toPersistentMap(),
        leaseUntilMs = if (leased) nowMs + timing.leaseEndMs else reported.leaseUntilMs,
    )
    return ShareResult(current.copy(holdings = current.holdings.put(holder, updated)), shares)
}

private fun Session.holder() = Holder(announcement.instance, announcement.incarnation)

private fun SessionState.liveHoldings(nowMs: Long) =
    holdings.filter { (holder, held) -> nowMs < held.leaseUntilMs || isLive(holder) }.toPersistentMap()

private fun SessionState.isLive(holder: Holder): Boolean {
    val session = sessions[holder.instance] ?: return false
    return !session.lost && session.announcement.incarnation == holder.incarnation
}

/** A new leader takes over the shares that the entries report; later an unknown entry's own lease has ended. */
private fun SessionState.adopted(session: Session, nowMs: Long): Holding {
    val reported = session.report?.uses.orEmpty().mapValues { it.value.share }.toPersistentMap()
    val shares = if (raises(nowMs)) persistentMapOf() else reported
    return Holding(shares, shares, leaseUntilMs = nowMs + timing.leaseEndMs)
}

private fun SessionState.raises(nowMs: Long): Boolean = nowMs >= leaderSinceMs + timing.leaseEndMs

private fun Holding.learn(uses: Map<String, AccountUse>): Holding {
    val acknowledged = sent.filter { (account, share) -> uses[account]?.share == share }
    return copy(
        ceiling = ceiling.putAll(acknowledged),
        inFlight = uses.mapValues { it.value.inFlight }.toPersistentMap(),
    )
}

private fun SessionState.share(account: Account, holder: Holder, held: Holding, use: AccountUse?, nowMs: Long): Int {
    val sent = held.sent[account.name] ?: 0
    if (sent != (held.ceiling[account.name] ?: 0) || sent != (use?.share ?: 0)) return sent
    val target = targets(account)[holder] ?: 0
    if (target <= sent || !raises(nowMs)) return minOf(target, sent)
    val others = holdings.filterKeys { it != holder }.values.sumOf { it.usable(account.name) }
    return maxOf(sent, minOf(target, account.maxConcurrent - others))
}

private fun Holding.usable(account: String): Int = maxOf(ceiling[account] ?: 0, inFlight[account] ?: 0)

private fun SessionState.targets(account: Account): Map<Holder, Int> {
    val live = sessions.values.filter { it.announcement.role == ProcessRole.ENTRY && !it.lost }
    return allocate(account.maxConcurrent, live.associate { it.holder() to it.demand(account.name) })
}

private fun Session.demand(account: String): Int = report?.uses?.get(account)?.let { it.inFlight + it.refused } ?: 0

/**
 * Splits [limit] over entries: one for each entry where the limit allows, half of the rest evenly, since an entry that
 * is idle now must admit the next requests at once, and the other half in proportion to demand with the largest
 * remainders rounded up. The sum equals the limit when there is an entry.
 */
internal fun allocate(limit: Int, demands: Map<Holder, Int>): Map<Holder, Int> {
    val order = demands.entries.sortedWith(compareBy({ -it.value }, { it.key.instance }))
    if (limit <
        order.size
    ) {
        return order.withIndex().associate { (rank, entry) -> entry.key to if (rank < limit) 1 else 0 }
    }
    if (order.isEmpty()) return emptyMap()
    val base = 1 + (limit - order.size) / 2 / order.size
    val spare = limit - base * order.size
    val even = if (demands.values.all { it == 0 }) 1L else 0L
    val weights = order.associate { it.key to it.value + even }
    val total = weights.values.sum().coerceAtLeast(1)
    val whole = weights.mapValues { (_, weight) -> (spare * weight / total).toInt() }
    val left = spare - whole.values.sum()
    val rounded = order.map { it.key }.sortedByDescending { spare * weights.getValue(it) % total }.take(left)
    return whole.mapValues { (holder, share) -> base + share + if (holder in rounded) 1 else 0 }
}
