package org.bramleyspur.control.placement

/** Free instances, load slots and decisions so far within one call of [decide]. */
internal data class Plan(
    val world: World,
    val policy: RepairPolicy,
    val nowMs: Long,
    val free: List<PlacementInstance>,
    val slots: Int,
    val actions: List<PlacementAction> = emptyList(),
) {
    fun plus(action: PlacementAction): Plan = copy(actions = actions + action)
}
