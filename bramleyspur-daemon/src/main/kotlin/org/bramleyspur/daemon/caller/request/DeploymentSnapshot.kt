/*
 * Immutable snapshots of the deployment, which the control thread publishes to an entry's traffic thread.
 */
package org.bramleyspur.daemon.caller.request

import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.core.model.Service
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Configuration and routes at one point in time.
 *
 * @property leaseUntilMs monotonic time until which new requests may be admitted with [configuration]
 * @property shares leased limits of concurrent requests by account, for accounts with a limit
 * @property stopping whether the process is stopping
 * @property endsAtMs monotonic time at which a stopping process ends at the latest; null while its listener is open
 */
data class DeploymentSnapshot(
    val configuration: Configuration = Configuration(),
    val routes: RouteTable = RouteTable(),
    val leaseUntilMs: Long = Long.MIN_VALUE,
    val shares: Map<String, Int> = emptyMap(),
    val stopping: Boolean = false,
    val endsAtMs: Long? = null,
) {
    private val accountsByKey: Map<String, Account> by lazy {
        configuration.accounts.values.associateBy { it.keyDigest }
    }

    /** The service with [name], null if none is declared. */
    fun service(name: String): Service? = configuration.services[name]

    /** The client account that owns the API [key]. */
    fun accountOf(key: String): Account? = accountsByKey[digestOf(key)]
}

/** Lower-case hexadecimal SHA-256 digest of [text]. */
fun digestOf(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
