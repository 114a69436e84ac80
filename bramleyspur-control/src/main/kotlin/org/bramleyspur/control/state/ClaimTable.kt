/*
 * Idempotency records. A key has no record, or one that is held, completed or of unknown outcome. A record is removed
 * only by proof that the held claim's call was not executed, or at the end of its retention, so a claim is granted at
 * most once for each proof.
 */
package org.bramleyspur.control.state

import com.google.protobuf.ByteString
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId

/** State of an idempotency record. */
sealed interface ClaimState {
    /** The call may be in progress. */
    data object Held : ClaimState

    /** It cannot be determined whether the call was executed. */
    data object UnknownOutcome : ClaimState

    /** The call was executed and the backend server responded. */
    data class Responded(val response: StoredResponse) : ClaimState
}

/**
 * An idempotency record.
 *
 * @property grant log index of the claim
 * @property expiresAtMs wall-clock milliseconds from which a resend counts as a new request
 */
data class ClaimRecord(
    val digest: ByteString,
    val request: RequestId,
    val incarnation: Incarnation,
    val agentAddress: String,
    val grant: Long,
    val expiresAtMs: Long,
    val state: ClaimState,
)

/**
 * The idempotency records, with their keys indexed by the minute of expiry so that expiry does not scan all records:
 * there are millions of them at 155 claims/s and 24 h of retention.
 */
data class ClaimTable(
    val records: PersistentMap<ClaimKey, ClaimRecord> = persistentMapOf(),
    private val keysByMinute: PersistentMap<Long, PersistentSet<ClaimKey>> = persistentMapOf(),
) {
    /** This table with [record] replacing any existing record of [key]. */
    internal fun with(key: ClaimKey, record: ClaimRecord): ClaimTable {
        val others = without(key)
        val minute = minuteOf(record)
        val keys = others.keysByMinute[minute] ?: persistentSetOf()
        return ClaimTable(others.records.put(key, record), others.keysByMinute.put(minute, keys.add(key)))
    }

    /** This table without the record of [key]. */
    internal fun without(key: ClaimKey): ClaimTable {
        val minute = records[key]?.let { minuteOf(it) } ?: return this
        val keys = keysByMinute[minute]?.remove(key)
        val rest = if (keys.isNullOrEmpty()) keysByMinute.remove(minute) else keysByMinute.put(minute, keys)
        return ClaimTable(records.remove(key), rest)
    }

    /** Keys of the records that have expired by [nowMs], except those that expire within the current minute. */
    internal fun expiredKeys(nowMs: Long): List<ClaimKey> = keysByMinute.entries
        .filter { it.key < nowMs / MILLIS_PER_MINUTE }
        .flatMap { it.value }

    private fun minuteOf(record: ClaimRecord): Long = record.expiresAtMs / MILLIS_PER_MINUTE

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000L
    }
}

/** Grants or refuses a claim, or returns the recorded response. */
internal fun ClaimTable.claim(index: Long, claim: Claim): Pair<ClaimTable, ClaimResult> {
    val existing = records[claim.key]?.takeIf { claim.claimedAtMs < it.expiresAtMs }
        ?: return with(claim.key, claim.record(index)) to ClaimResult.Granted(index)
    return this to if (existing.digest == claim.digest) existing.result() else ClaimResult.DigestMismatch
}

/** Records the outcome of a claim; the table is unchanged if the outcome does not belong to the current claim. */
internal fun ClaimTable.complete(complete: Complete): Pair<ClaimTable, Completed> {
    val record = records[complete.key]?.takeIf { it.grant == complete.grant }
        ?: return this to Completed(recorded = false)
    val outcome = complete.outcome
    return when {
        record.state is ClaimState.Responded -> this to Completed(outcome is ClaimOutcome.Responded)
        outcome is ClaimOutcome.Responded -> {
            val responded = ClaimState.Responded(outcome.response.withoutOversizedBody())
            with(complete.key, record.copy(state = responded)) to Completed(true)
        }
        record.state is ClaimState.UnknownOutcome -> this to Completed(outcome is ClaimOutcome.Unknown)
        outcome is ClaimOutcome.NotRun -> without(complete.key) to Completed(true)
        else -> with(complete.key, record.copy(state = ClaimState.UnknownOutcome)) to Completed(true)
    }
}

/** Removes the records whose retention has ended. */
internal fun ClaimTable.expire(nowMs: Long): Pair<ClaimTable, ClaimsExpired> {
    val keys = expiredKeys(nowMs)
    return keys.fold(this) { table, key -> table.without(key) } to ClaimsExpired(keys.size)
}

private fun Claim.record(index: Long): ClaimRecord {
    val retention = retentionMs.coerceIn(0, Long.MAX_VALUE - claimedAtMs)
    return ClaimRecord(digest, request, incarnation, agentAddress, index, claimedAtMs + retention, ClaimState.Held)
}

private fun ClaimRecord.result(): ClaimResult = when (val state = state) {
    is ClaimState.Held -> ClaimResult.InProgress(grant, request, incarnation, agentAddress)
    is ClaimState.UnknownOutcome -> ClaimResult.UnknownOutcome(request, incarnation, agentAddress)
    is ClaimState.Responded -> ClaimResult.Responded(state.response)
}
