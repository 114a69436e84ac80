package org.bramleyspur.control.placement

/**
 * Parameters of the repair policy.
 *
 * @property downtimeWeight weight of group downtime from 0 to 1; the rest is the weight of stranded accelerators
 * @property maxLoads maximum number of concurrent loads from the weight store
 * @property waitLoadFactor longest wait for a paused member, in load times, when no spare group is free
 * @property hedgeAfterMs time after which a spare group is loaded while a paused member may still return
 * @property flapFailures failures within [flapWindowMs] after which an instance must stay up for [flapStableMs]
 * @property avoidDomainMs time during which a fabric domain is avoided after a repair there has failed
 * @property useOtherDataCentres whether a replica may be placed in another data centre
 * @property bestFit whether domains are chosen to leave complete groups elsewhere; otherwise the first fit is used
 * @property retireBroken whether a broken replica is retired at once, without waiting for its members
 */
data class RepairPolicy(
    val downtimeWeight: Double,
    val maxLoads: Int = DEFAULT_MAX_LOADS,
    val waitLoadFactor: Double,
    val hedgeAfterMs: Long,
    val flapFailures: Int = 3,
    val flapWindowMs: Long = 600_000,
    val flapStableMs: Long = 300_000,
    val avoidDomainMs: Long = 120_000,
    val useOtherDataCentres: Boolean = true,
    val bestFit: Boolean = true,
    val retireBroken: Boolean = false,
) {
    /** Longest wait; members that wait strand accelerators, but so does a member that returns after a regrouping. */
    internal fun waitMs(loadMs: Long): Long = (loadMs * waitLoadFactor * (2 - downtimeWeight)).toLong()

    companion object {
        /** Two concurrent loads from the weight store barely slow each other down. */
        const val DEFAULT_MAX_LOADS = 2

        /** Prioritises low group downtime: a spare group is loaded at once. */
        val ragusa = RepairPolicy(downtimeWeight = 0.8, waitLoadFactor = 0.5, hedgeAfterMs = 0)

        /** Prioritises few stranded accelerators: members wait longer for a paused one before they form a new group. */
        val kerherve = RepairPolicy(downtimeWeight = 0.2, waitLoadFactor = 0.5, hedgeAfterMs = 5_000)

        /** Repairs immediately by first fit, without flap damping or a load limit; only for comparison. */
        val baseline = RepairPolicy(
            downtimeWeight = 0.5,
            maxLoads = Int.MAX_VALUE,
            waitLoadFactor = 0.0,
            hedgeAfterMs = 0,
            flapFailures = Int.MAX_VALUE,
            avoidDomainMs = 0,
            bestFit = false,
            retireBroken = true,
        )
    }
}
