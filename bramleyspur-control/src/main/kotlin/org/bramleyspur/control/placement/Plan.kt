package org.bramleyspur.control.placement

/** Remaining free instances and load slots, and the actions decided so far, within one call of [decidePlacement]. */
internal data class Plan(
    val snapshot: PlacementSnapshot,
    val policy: RepairPolicy,
    val nowMs: Long,
    val free: List<PlacementInstance>,
    val loadSlots: Int,
    val actions: List<PlacementAction> = emptyList(),
) {
    fun plus(action: PlacementAction): Plan = copy(actions = actions + action)
}
