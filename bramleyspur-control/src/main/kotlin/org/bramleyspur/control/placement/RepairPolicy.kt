package org.bramleyspur.control.placement

/**
 * Parameters of the repair policy.
 *
 * @property downtimeWeight weight of group downtime from 0 to 1; stranded accelerators have the rest
 * @property maxLoads loads that run against the weight store at once
 * @property waitLoads longest wait for a paused member as a multiple of the load time, when no spare group is free
 * @property hedgeAfterMs time after which a spare group is loaded while a paused member may still return
 * @property flapFailures failures within [flapWindowMs] after which an instance must stay up for [flapUpMs]
 * @property avoidDomainMs time for which a fabric domain is avoided after a repair there has failed
 * @property move whether a replica may be placed in another data centre
 * @property bestFit whether fabric domains keep whole groups; otherwise the first fit is taken
 * @property retireBroken whether a broken replica is retired at once, without waiting for its members
 */
data class RepairPolicy(
    val downtimeWeight: Double,
    val maxLoads: Int = DEFAULT_MAX_LOADS,
    val waitLoads: Double,
    val hedgeAfterMs: Long,
    val flapFailures: Int = 3,
    val flapWindowMs: Long = 600_000,
    val flapUpMs: Long = 300_000,
    val avoidDomainMs: Long = 120_000,
    val move: Boolean = true,
    val bestFit: Boolean = true,
    val retireBroken: Boolean = false,
) {
    /** Longest wait in ms; partners that wait strand accelerators, but so does the member that returns too late. */
    internal fun waitMs(loadMs: Long): Long = (loadMs * waitLoads * (2 - downtimeWeight)).toLong()

    companion object {
        /** Two loads share the weight store's rate without slowing each other much. */
        const val DEFAULT_MAX_LOADS = 2

        /** Group downtime counts more: a spare group is loaded at once. */
        val ragusa = RepairPolicy(downtimeWeight = 0.8, waitLoads = 0.5, hedgeAfterMs = 0)

        /** Stranded accelerators count more: partners wait longer for a paused member before they regroup. */
        val kerherve = RepairPolicy(downtimeWeight = 0.2, waitLoads = 0.5, hedgeAfterMs = 5_000)

        /** Repairs at once by first fit, without flap damping or a limit of loads; only for comparison. */
        val baseline = RepairPolicy(
            downtimeWeight = 0.5,
            maxLoads = Int.MAX_VALUE,
            waitLoads = 0.0,
            hedgeAfterMs = 0,
            flapFailures = Int.MAX_VALUE,
            avoidDomainMs = 0,
            bestFit = false,
            retireBroken = true,
        )
    }
}
