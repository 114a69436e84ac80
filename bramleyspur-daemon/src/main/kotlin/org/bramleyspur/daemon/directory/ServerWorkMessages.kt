package org.bramleyspur.daemon.directory

import org.bramleyspur.protocol.ServerWork
import org.bramleyspur.traffic.load.ServerLoad

/** Work by backend server as messages. */
internal fun Map<String, ServerLoad>.toMessages(): List<ServerWork> = map { (backend, load) ->
    ServerWork
        .newBuilder()
        .setBackend(backend)
        .setInFlight(load.inFlight)
        .setPendingPrefillTokens(load.pendingPrefillTokens)
        .setContextTokens(load.contextTokens)
        .build()
}

/** Work by backend server; a negative count, which no entry sends, counts as zero. */
internal fun List<ServerWork>.toLoads(): Map<String, ServerLoad> = associate {
    it.backend to ServerLoad(
        it.inFlight.coerceAtLeast(0),
        it.pendingPrefillTokens.coerceAtLeast(0),
        it.contextTokens.coerceAtLeast(0),
    )
}
