package org.bramleyspur.traffic.forward

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.document.RouteTarget
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a request routed by a shorter prefix, to another host or to a service without weight. */
class RouteTableTest {
    private fun route(name: String, host: String, prefix: String) = DocumentRoute(
        name = name,
        host = host,
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        timeoutMs = 1_000,
        targetLatencyMs = 100,
        priority = 0,
        targets = persistentListOf(RouteTarget("a", 0), RouteTarget("b", 90), RouteTarget("c", 10)),
        maxAttempts = 1,
        isPublic = false,
        resumable = false,
        targetEventIntervalMs = null,
    )

    private val table = RouteTable(
        Document(
            version = 1,
            routes = persistentListOf(
                route("short", "one.example", "/x/"),
                route("long", "one.example", "/x/y/"),
                route("other", "two.example", "/x/"),
            ),
            services = persistentMapOf(),
            accounts = persistentListOf(DocumentAccount("acme", persistentListOf("k1", "k2"), null)),
            limits = ClientLimits(),
        ),
    )

    private val cases = listOf(
        Triple("one.example", "/x/1", "short"),
        Triple("one.example", "/x/y/1", "long"),
        Triple("ONE.example:8080", "/x/y/", "long"),
        Triple("two.example", "/x/y/1", "other"),
        Triple("one.example", "/x", null),
        Triple("three.example", "/x/1", null),
    )

    @TestFactory
    fun routes() = cases.map { (host, path, name) ->
        DynamicTest.dynamicTest("$host$path") { expectThat(table.route(host, path)?.name).isEqualTo(name) }
    }

    @Test
    fun `requests are split by weight`() {
        val chosen = (0 until 100).map { targetService(table.document.routes[0], it / 100.0) }
        expectThat(chosen.groupingBy { it }.eachCount()).isEqualTo(mapOf("b" to 90, "c" to 10))
    }

    @Test
    fun `keys belong to their account`() {
        expectThat(table.account("k2")?.name).isEqualTo("acme")
        expectThat(table.account("k3")).isNull()
    }
}
