package org.bramleyspur.core.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The configuration declared by operators, at one [revision].
 *
 * @property drainedInstances instances that must not run any work
 */
data class Configuration(
    val revision: Revision = Revision.NONE,
    val services: PersistentMap<String, Service> = persistentMapOf(),
    val accounts: PersistentMap<String, Account> = persistentMapOf(),
    val drainedInstances: PersistentSet<InstanceName> = persistentSetOf(),
)
