package org.bramleyspur.daemon.forward

import kotlinx.collections.immutable.toImmutableSet
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a request that leaves the regions of its route or of its account. */
class RegionTest : ForwardTest() {
    private class Case(
        val name: String,
        val route: String?,
        val account: String?,
        val requests: List<Int>,
        val status: Int,
    )

    @TestFactory
    fun `a request stays in its regions`() = listOf(
        Case("no region named", null, null, listOf(1, 0), 200),
        Case("the other one of the route", "r2", null, listOf(0, 1), 200),
        Case("the other one of the account", null, "r2", listOf(0, 1), 200),
        Case("nothing in common", "r1", "r2", listOf(0, 0), 503),
        Case("one without backend servers", "r3", null, listOf(0, 0), 503),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            fun regions(name: String?) = name?.let { setOf(it).toImmutableSet() }
            val servers = List(2) { ScriptedBackend(Script(okResponse("x"))) }
            val restricted = document.copy(
                routes = document.routes.map { it.copy(allowedRegions = regions(case.route)) }.toPersistentList(),
                accounts = document.accounts
                    ?.map { it.copy(allowedRegions = regions(case.account)) }
                    ?.toPersistentList(),
            )
            startServices(restricted, mapOf("s" to servers))
            val response = post("/again/")
            expectThat(response?.status).isEqualTo(case.status)
            expectThat(servers.map { it.requests.size }).isEqualTo(case.requests)
            // Nothing is gained by a wait for a backend server in these regions.
            expectThat(counted("bramleyspur_requests_waited", "/again/")).isEqualTo(0.0)
        }
    }
}
