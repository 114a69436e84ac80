/*
 * Division of an account's limit of concurrent requests among the entries. The sum of all shares that holders may act
 * on never exceeds the limit: a share changes only after the holder has reported the last one, it is raised only by
 * what no other holder may still use, and an unresponsive holder's share counts until its lease has certainly expired.
 */
package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bramleyspur.core.model.Account

/** Computes the shares of the entry of [session]; [leased] states whether this response renews its lease. */
internal fun SessionState.updateShares(session: Session, leased: Boolean, nowMs: Long): ShareResult {
    if (session.process.role != ProcessRole.ENTRY) return ShareResult(this, emptyMap())
    val holder = session.holder()
    val current = copy(heldShares = activeShares(nowMs))
    val known = current.heldShares[holder] ?: current.adoptedShares(session, nowMs)
    val uses = session.report?.uses.orEmpty()
    val reported = known.acknowledge(uses)
    val limited = configuration.accounts.values.filter { it.maxConcurrent > 0 }
    val shares = limited.associate { it.name to current.share(it, holder, reported, uses[it.name], nowMs) }
    val updated = reported.copy(
        sent = shares.toPersistentMap(),
        ceiling = shares.mapValues { (name, share) -> maxOf(share, reported.ceiling[name] ?: 0) }.toPersistentMap(),
        leaseUntilMs = if (leased) nowMs + timing.leaseExpiryMs else reported.leaseUntilMs,
    )
    return ShareResult(current.copy(heldShares = current.heldShares.put(holder, updated)), shares)
}

private fun Session.holder() = ShareHolder(process.instance, process.incarnation)

private fun SessionState.activeShares(nowMs: Long) =
    heldShares.filter { (holder, held) -> nowMs < held.leaseUntilMs || isLive(holder) }.toPersistentMap()

private fun SessionState.isLive(holder: ShareHolder): Boolean {
    val session = sessions[holder.instance] ?: return false
    return !session.lost && session.process.incarnation == holder.incarnation
}

/** A new leader adopts the shares that entries report; later, the lease of an unknown entry has already expired. */
private fun SessionState.adoptedShares(session: Session, nowMs: Long): HeldShares {
    val reported = session.report?.uses.orEmpty().mapValues { it.value.share }.toPersistentMap()
    val shares = if (mayRaiseShares(nowMs)) persistentMapOf() else reported
    return HeldShares(shares, shares, leaseUntilMs = nowMs + timing.leaseExpiryMs)
}

/**
 * Whether all shares still in use are known. Those of entries that have not reported to this leader expire with their
 * leases; before the first configuration there were no accounts, so no share either.
 */
private fun SessionState.mayRaiseShares(nowMs: Long): Boolean =
    !earlierShares || nowMs >= leaderSinceMs + timing.leaseExpiryMs

private fun HeldShares.acknowledge(uses: Map<String, AccountUse>): HeldShares {
    val acknowledged = sent.filter { (account, share) -> uses[account]?.share == share }
    return copy(
        ceiling = ceiling.putAll(acknowledged),
        inFlight = uses.mapValues { it.value.inFlight }.toPersistentMap(),
    )
}

private fun SessionState.share(
    account: Account,
    holder: ShareHolder,
    held: HeldShares,
    use: AccountUse?,
    nowMs: Long,
): Int {
    val sent = held.sent[account.name] ?: 0
    if (sent != (held.ceiling[account.name] ?: 0) || sent != (use?.share ?: 0)) return sent
    val target = targets(account)[holder] ?: 0
    if (target <= sent || !mayRaiseShares(nowMs)) return minOf(target, sent)
    val others = heldShares.filterKeys { it != holder }.values.sumOf { it.usable(account.name) }
    return maxOf(sent, minOf(target, account.maxConcurrent - others))
}

private fun HeldShares.usable(account: String): Int = maxOf(ceiling[account] ?: 0, inFlight[account] ?: 0)

private fun SessionState.targets(account: Account): Map<ShareHolder, Int> {
    val live = sessions.values.filter { it.process.role == ProcessRole.ENTRY && !it.lost }
    return allocate(account.maxConcurrent, live.associate { it.holder() to it.demand(account.name) })
}

private fun Session.demand(account: String): Int = report?.uses?.get(account)?.let { it.inFlight + it.refused } ?: 0

/**
 * Divides [limit] among the entries: one for each entry if the limit allows, half of the rest evenly, since an idle
 * entry must be able to admit the next requests at once, and the other half in proportion to demand with the largest
 * remainders rounded up. The sum equals the limit unless there are no entries.
 */
internal fun allocate(limit: Int, demands: Map<ShareHolder, Int>): Map<ShareHolder, Int> {
    val byDemand = demands.entries.sortedWith(compareBy({ -it.value }, { it.key.instance }))
    if (limit <
        byDemand.size
    ) {
        return byDemand.withIndex().associate { (rank, entry) -> entry.key to if (rank < limit) 1 else 0 }
    }
    if (byDemand.isEmpty()) return emptyMap()
    val minimum = 1 + (limit - byDemand.size) / 2 / byDemand.size
    val remaining = limit - minimum * byDemand.size
    val uniformWeight = if (demands.values.all { it == 0 }) 1L else 0L
    val weights = byDemand.associate { it.key to it.value + uniformWeight }
    val total = weights.values.sum().coerceAtLeast(1)
    val quotients = weights.mapValues { (_, weight) -> (remaining * weight / total).toInt() }
    val leftover = remaining - quotients.values.sum()
    val roundedUp =
        byDemand.map { it.key }.sortedByDescending { remaining * weights.getValue(it) % total }.take(leftover)
    return quotients.mapValues { (holder, share) -> minimum + share + if (holder in roundedUp) 1 else 0 }
}
