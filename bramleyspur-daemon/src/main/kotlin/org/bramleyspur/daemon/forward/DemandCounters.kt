package org.bramleyspur.daemon.forward

import org.bramleyspur.control.demand.DemandCounts
import org.bramleyspur.control.demand.ServedModel
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.protocol.ModelDemand

/** Counts what is asked of each model since the start of an entry. Confined to the traffic thread. */
internal class DemandCounters {
    private val counts = HashMap<ServedModel, DemandCounts>()

    /** Counts a request that has arrived; a model that the service does not have is not counted. */
    fun onRequest(service: DocumentService, model: String?, tokens: TokenCounts) = update(service, model) {
        val limit = minOf(service.costs?.kvCacheTokens ?: 0, DemandCounts.MAX_REQUEST_TOKENS)
        it.copy(
            requests = it.requests + 1,
            promptTokens = it.promptTokens + minOf(tokens.prompt, limit),
            outputTokens = it.outputTokens + minOf(tokens.output, limit),
        )
    }

    /** Counts the refusal of a request that was counted when it arrived. */
    fun onRefused(service: DocumentService, model: String?) =
        update(service, model) { it.copy(refused = it.refused + 1) }

    private fun update(service: DocumentService, model: String?, change: (DemandCounts) -> DemandCounts) {
        if (model == null || service.models.none { it.name == model }) return
        val key = ServedModel(service.name, model)
        counts[key] = change(counts[key] ?: DemandCounts())
    }

    /** The counts of the models that [document] names; those of others are forgotten. */
    fun toMessages(document: Document?): List<ModelDemand> {
        if (document == null) return emptyList()
        counts.keys.removeIf { key -> document.services[key.service]?.models?.none { it.name == key.model } != false }
        return counts.map { (key, counts) ->
            ModelDemand.newBuilder()
                .setService(key.service)
                .setModel(key.model)
                .setRequests(counts.requests)
                .setRefused(counts.refused)
                .setPromptTokens(counts.promptTokens)
                .setOutputTokens(counts.outputTokens)
                .build()
        }
    }
}
