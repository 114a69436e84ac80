package org.bramleyspur.traffic.homes

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute

/** The [regions] whose backend servers may receive a request; null for any. */
data class Homes(val regions: ImmutableSet<String>?) {
    /** Whether backend servers in [region] may receive the request; null for an unknown region. */
    fun allows(region: String?): Boolean = regions == null || region in regions

    companion object {
        /** Any region, known or not. */
        val ANY = Homes(null)
    }
}

/** The regions for a request of [account] on [route]. If both name regions, only those that both name are allowed. */
fun homesOf(route: DocumentRoute, account: DocumentAccount?): Homes {
    val own = account?.allowedRegions ?: return Homes(route.allowedRegions)
    return Homes(route.allowedRegions?.let { regions -> regions.filter { it in own }.toImmutableSet() } ?: own)
}
