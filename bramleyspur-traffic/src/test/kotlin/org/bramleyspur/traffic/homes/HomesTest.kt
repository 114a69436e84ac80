package org.bramleyspur.traffic.homes

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableSet
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.RouteKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a request that leaves the regions of its route or of its account. */
class HomesTest {
    private class Case(val name: String, val route: Set<String>?, val account: Set<String>?, val allowed: Set<String?>)

    private fun route(regions: Set<String>?) = DocumentRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = RouteKind.STREAMING,
        timeoutMs = 1_000,
        targetLatencyMs = 100,
        priority = 0,
        targets = persistentListOf(),
        maxAttempts = 1,
        isPublic = false,
        resumable = true,
        targetEventIntervalMs = null,
        allowedRegions = regions?.toImmutableSet(),
    )

    @TestFactory
    fun `the regions of route and account both bind`() = listOf(
        Case("none named", null, null, setOf("a", "b", null)),
        Case("route only", setOf("a"), null, setOf("a")),
        Case("account only", null, setOf("b"), setOf("b")),
        Case("both", setOf("a", "b"), setOf("b", "c"), setOf("b")),
        Case("nothing in common", setOf("a"), setOf("b"), emptySet()),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            val account = DocumentAccount("t", persistentListOf(), null, case.account?.toImmutableSet())
            val homes = homesOf(route(case.route), account)
            expectThat(setOf("a", "b", null).filter { homes.allows(it) }.toSet()).isEqualTo(case.allowed)
            if (case.account == null) expectThat(homesOf(route(case.route), null)).isEqualTo(homes)
        }
    }
}
