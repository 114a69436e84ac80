package org.bramleyspur.core.backend

/**
 * Selections of the backend servers that the requests of an entry ask for again and again. Versions of the directory
 * that differ only in sequence numbers and times share one index. Not thread-safe.
 */
internal class BackendIndex(private val backends: Map<String, KnownBackend>) {
    private val readyByService: Map<String, List<Announcement>> by lazy(LazyThreadSafetyMode.NONE) {
        backends.values.map { it.announcement }.filter { it.state == BackendState.READY }.groupBy { it.service }
    }
    private val membersByGroup: Map<Pair<String, GroupId>, List<Announcement>> by lazy(LazyThreadSafetyMode.NONE) {
        backends.values
            .map { it.announcement }
            .filter { it.state != BackendState.GONE && it.groupMembership != null }
            .groupBy { it.service to it.groupMembership!!.id }
    }
    private val headsByModel = HashMap<Triple<String, String, Int>, List<GroupHead>>()

    fun readyBackends(service: String): List<Announcement> = readyByService[service].orEmpty()

    fun openHeads(service: String, model: String, groupSize: Int): List<GroupHead> =
        headsByModel.getOrPut(Triple(service, model, groupSize)) { findOpenHeads(service, model, groupSize) }

    private fun findOpenHeads(service: String, model: String, groupSize: Int): List<GroupHead> =
        readyBackends(service).mapNotNull { head ->
            val membership = head.groupMembership
            if (membership == null || membership.rank != 0 ||
                membership.state != GroupState.OPEN
            ) {
                return@mapNotNull null
            }
            val members = membersByGroup.getValue(service to membership.id)
            val serves = membership.model == model && members.size >= groupSize
            if (serves) GroupHead(head, members.distinctBy { it.fabricDomain }.size > 1) else null
        }
}
