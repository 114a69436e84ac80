/*
 * Check of a file of statements before it is sent: the statements are applied to an empty configuration and validated
 * as the state machine does.
 */
package org.bramleyspur.control.check

import com.github.michaelbull.result.fold
import org.bramleyspur.control.state.configurationOf
import org.bramleyspur.core.check.Finding
import org.bramleyspur.core.check.Finding.Contradiction
import org.bramleyspur.core.check.Finding.NeverMatches
import org.bramleyspur.core.check.Finding.Refused
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.Service
import org.bramleyspur.core.model.ServiceKind

/** All findings of the configuration that [statements] declare; after a refusal, nothing else is found. */
fun statementFindings(statements: String): List<Finding> =
    configurationOf(statements).fold({ it.findings() }, { listOf(Refused(it)) })

private fun Configuration.findings(): List<Finding> {
    val sorted = services.values.sortedBy { it.name }
    val called = sorted.flatMap { it.accounts }.toSet()
    return (accounts.keys - called).sorted().map {
        NeverMatches("no service names the account $it; add it to a service or drop it")
    } + sorted.flatMap { neverMatching(it) } + sorted.flatMap { contradictions(it) }
}

private fun neverMatching(service: Service): List<NeverMatches> = listOfNotNull(
    "the service ${service.name} names no account, so nobody may call it; name one".takeIf {
        service.accounts.isEmpty()
    },
    "the service ${service.name} wants no replica, so no request of it can run; give replicas in a data centre"
        .takeIf { service.kind == ServiceKind.MODEL && service.placements.values.sum() == 0 },
).map { NeverMatches(it) }

private fun Configuration.contradictions(service: Service): List<Contradiction> = service.accounts.sorted()
    .mapNotNull { accounts[it] }
    .filter { it.patienceMs > service.timeoutMs }
    .map {
        Contradiction(
            "the patience of the account ${it.name} (${it.patienceMs} ms) is above the timeout of the service " +
                "${service.name} (${service.timeoutMs} ms); lower it or raise the timeout",
        )
    }
