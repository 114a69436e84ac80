package org.bramleyspur.traffic.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Route
import org.bramleyspur.traffic.admission.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class RouterTest {
    private fun route(name: String, dataCentre: String = "here", version: String = "v1", adapter: String = "x") = Route(
        "s", null, FencingNumber(1), InstanceName(name), Incarnation(name), "127.0.0.1:1", "r", dataCentre, version,
        persistentListOf(adapter), slots = 4,
    )

    private fun router(vararg routes: Route, seed: Int = 1) = Router(
        RoutingSettings("here"),
        { if (it == "here") LinkCost.LOCAL else LinkCost(8.0, 20.0) },
        Random(seed)::nextInt,
    ).also { it.setRoutes(routes.asList()) }

    private val request = RoutingRequest("s", "account")
    private val a = route("a")
    private val b = route("b")

    private fun Router.chosenPercent(of: Route, nowMs: Long, request: RoutingRequest = this@RouterTest.request): Int =
        (1..100).count { choose(request, nowMs) == of }

    /** Guards against a resume on another version or adapter, and against a route on which the request has failed. */
    @Test
    fun `chooses only eligible routes`() {
        val router = router(a, route("b", version = "v2"), route("c", adapter = "y"))
        val cases = listOf(
            RoutingRequest("s", "account", version = "v2") to "b",
            RoutingRequest("s", "account", adapter = "y") to "c",
            RoutingRequest("s", "account", version = "v1", excluded = persistentSetOf(Incarnation("c"))) to "a",
            RoutingRequest("s", "account", version = "v3") to null,
            RoutingRequest("other", "account") to null,
        )
        cases.forEach { (request, name) -> expectThat(router.choose(request, 0)?.instance?.value).isEqualTo(name) }
    }

    /** Guards against overloading a route whose last report does not include the entry's latest attempts. */
    @Test
    fun `counts own attempts that a report does not include`() {
        val router = router(a, b)
        repeat(6) { router.sent(a, request, 0) }
        router.onLoad(a.incarnation, ReportedLoad(0, 0, 4, 0, received = 0), 10)
        router.onLoad(b.incarnation, ReportedLoad(2, 0, 4, 0, received = 0), 10)
        expectThat(router.chosenPercent(a, 10)).isEqualTo(0)
        expectThat(router.inFlight(a.incarnation)).isEqualTo(6)
    }

    /** Guards against counting an entry's attempts twice: in its own count and in the report. */
    @Test
    fun `does not count reported own attempts again`() {
        val router = router(a, b)
        repeat(3) { router.sent(a, request, 0) }
        router.onLoad(a.incarnation, ReportedLoad(3, 0, 4, 0, received = 3), 10)
        router.onLoad(b.incarnation, ReportedLoad(5, 0, 4, 0, received = 0), 10)
        expectThat(router.chosenPercent(a, 10)).isEqualTo(100)
    }

    /** Guards against use of an index that may have missed an eviction. */
    @Test
    fun `clears the prefix index at a gap`() {
        val stored = PrefixIndex().apply(CacheEvent(1, stored = true, 7)).apply(CacheEvent(2, stored = true, 8))
        expectThat(stored.match(longArrayOf(7, 8, 9))).isEqualTo(2)
        expectThat(stored.apply(CacheEvent(1, stored = false, 7)).match(longArrayOf(7))).isEqualTo(1)
        expectThat(stored.apply(CacheEvent(4, stored = true, 9)).match(longArrayOf(7, 8))).isEqualTo(0)
    }

    /** Guards against an unused cached prefix, and against overloading the only route that holds it. */
    @Test
    fun `prefers the holder of the prompt until it is full`() {
        val router = router(a, b)
        val prompt = RoutingRequest("s", "account", prompt = LongArray(8) { it + 1L })
        router.sent(b, prompt, 0)?.let { router.ended(it, 1) }
        expectThat(router.chosenPercent(b, 2, prompt)).isEqualTo(100)
        repeat(8) { router.sent(b, request, 2) }
        expectThat(router.chosenPercent(b, 2, prompt)).isEqualTo(0)
    }

    /** Guards against requests queued at a frozen route, and against all requests returning to it at once. */
    @Test
    fun `avoids a straggler and probes it with one attempt`() {
        val router = router(a, b)
        val slowAttempt = checkNotNull(router.sent(a, request, 0))
        expectThat(router.chosenPercent(a, 2_000)).isEqualTo(0)
        router.firstToken(slowAttempt, 2_000)
        router.failed(slowAttempt, 2_000)
        expectThat(router.chosenPercent(a, 2_100)).isEqualTo(0)
        expectThat(router.chosenPercent(a, 30_000)).isGreaterThan(0)
        router.sent(a, request, 30_000)
        expectThat(router.chosenPercent(a, 30_001)).isEqualTo(0)
    }

    /** Guards against a backend server that rejects requests at once and looks fast, so that it gets all of them. */
    @Test
    fun `a rejected request does not make its route look fast`() {
        val router = router(a, b)
        router.sent(a, request, 0)?.let { router.rejected(it) }
        expectThat(router.chosenPercent(a, 10)).isLessThan(100)
        expectThat(router.chosenPercent(b, 10)).isGreaterThan(0)
        expectThat(router.inFlight(a.incarnation)).isEqualTo(0)
    }

    /** Guards against a route that stays on probation while it answers each probe with a rejection. */
    @Test
    fun `a rejected request ends the probation of its route`() {
        val router = router(a)
        router.sent(a, request, 0)?.let { router.failed(it, 0) }
        router.sent(a, request, 1_000)?.let { router.rejected(it) }
        router.sent(a, request, 1_001)
        expectThat(router.choose(request, 1_002)).isEqualTo(a)
    }

    /** Guards against one account's full queue keeping other accounts away. */
    @Test
    fun `avoids a full queue for the refused account only`() {
        val router = router(a)
        router.sent(a, request, 0)?.let { router.refused(it, RefusalReason.QUEUE_FULL, 500, 0) }
        expectThat(router.choose(request, 100)).isNull()
        expectThat(router.choose(RoutingRequest("s", "other"), 100)).isEqualTo(a)
        expectThat(router.choose(request, 500)).isEqualTo(a)
        router.sent(a, request, 500)?.let { router.refused(it, RefusalReason.LEAVING, 500, 500) }
        expectThat(router.choose(RoutingRequest("s", "other"), 600)).isNull()
    }

    /** Guards against needless traffic between data centres, and against waiting locally while another one is idle. */
    @Test
    fun `prefers its data centre until it is full`() {
        val far = route("far", dataCentre = "there")
        val router = router(a, far)
        expectThat(router.chosenPercent(a, 0)).isEqualTo(100)
        repeat(8) { router.sent(a, request, 0) }
        expectThat(router.chosenPercent(far, 0)).isEqualTo(100)
    }

    /** Guards against entries that all choose the same route because they have the same reports. */
    @Test
    fun `spreads requests over equally loaded routes and is deterministic for a seed`() {
        val routes = Array(20) { route("route-$it") }
        val choices = List(100) { router(*routes, seed = it).choose(request, 0) }
        expectThat(choices.groupingBy { it }.eachCount().values.max()).isLessThan(20)
        expectThat(List(100) { router(*routes, seed = it).choose(request, 0) }).isEqualTo(choices)
        expectThat(choices.distinct().size).isNotEqualTo(1)
    }

    /** Guards against exceeding a leased share, also after its lease has ended. */
    @Test
    fun `admits an account within its leased share`() {
        val limits = AccountLimits()
        expectThat(limits.tryAcquire("a", maxConcurrent = 4, nowMs = 0)).isFalse()
        limits.setShares(persistentMapOf("a" to 1), validUntilMs = 100)
        expectThat(limits.tryAcquire("a", 4, 1)).isTrue()
        expectThat(limits.tryAcquire("a", 4, 2)).isFalse()
        expectThat(limits.drainDemand()["a"]).isEqualTo(AccountDemandCount(inFlight = 1, refused = 2))
        limits.release("a")
        expectThat(limits.tryAcquire("a", 4, 99)).isTrue()
        limits.release("a")
        expectThat(limits.tryAcquire("a", 4, 100)).isFalse()
        expectThat(limits.tryAcquire("unlimited", 0, 100)).isTrue()
    }
}
