package org.bramleyspur.traffic.check

/**
 * What is known of a deployment without asking it.
 *
 * @property regions its regions; empty if they are not known
 * @property servers number of backend servers of each service for which it is known
 */
data class DeploymentFacts(val regions: Set<String> = emptySet(), val servers: Map<String, Int> = emptyMap())
