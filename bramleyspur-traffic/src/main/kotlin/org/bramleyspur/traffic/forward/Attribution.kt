package org.bramleyspur.traffic.forward

/** The request to which a response on a backend server's connection belongs. */
enum class Attribution {
    /** The request that awaits a response. */
    OWN,

    /** Another request; the response of the waiting one may follow. */
    OTHER,

    /** It cannot be told, and neither can the owner of any later response on the connection. */
    UNKNOWN,
}

/**
 * Returns to which request a response belongs that echoes [responseId] and arrives while the request with [requestId]
 * waits; ids are null when absent. A refusal that echoes no id can be a repetition of an earlier one, so it counts only
 * as the [first] response on its connection. A backend server that ran a request knows its id, so a [sealed] response
 * without one is not a response to a request that has an id.
 */
fun attributionOf(requestId: String?, responseId: String?, sealed: Boolean, first: Boolean): Attribution = when {
    responseId != null -> if (responseId == requestId) Attribution.OWN else Attribution.OTHER
    sealed && requestId != null -> if (first) Attribution.UNKNOWN else Attribution.OTHER
    else -> if (first) Attribution.OWN else Attribution.UNKNOWN
}
