package org.bramleyspur.traffic.check

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.check.Finding
import org.bramleyspur.core.check.Finding.Contradiction
import org.bramleyspur.core.check.Finding.Difference
import org.bramleyspur.core.check.Finding.NeverMatches
import org.bramleyspur.core.check.Finding.Refused
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.core.document.RouteTarget
import org.bramleyspur.core.document.validate
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

private val stream = DocumentRoute(
    name = "draft",
    host = "h.example",
    pathPrefix = "/draft/",
    kind = RouteKind.STREAMING,
    timeoutMs = 8_000,
    targetLatencyMs = 400,
    priority = 1,
    targets = persistentListOf(RouteTarget("engines", 1)),
    maxAttempts = 2,
    isPublic = false,
    resumable = true,
    targetEventIntervalMs = 300,
)
private val call = stream.copy(
    name = "list",
    pathPrefix = "/list/",
    kind = RouteKind.IDEMPOTENT,
    targets = persistentListOf(RouteTarget("book", 1)),
    resumable = false,
    targetEventIntervalMs = null,
)
private val model = ModelSpec("m", groupSize = 4, workShare = 1.0, timeFactor = 2.0, loadMs = 900, stagedLoadMs = 90)
private val engines = DocumentService(
    "engines",
    maxConnections = 100,
    // An idle engine takes 2 x (4 x 6 ms + 1 token / 10 per ms) to the first event, and 2 x 3 x 6 ms between events.
    EngineCosts(34, 9_000, 3, 5.0, 1.0, 0.0, 10.0, 2_048, 3.0, 6, 2.5, 85.0),
    persistentListOf(model),
)
private val book = DocumentService("book", maxConnections = 100, costs = null, models = persistentListOf())
private val account = DocumentAccount("kitchen", persistentListOf("key-1"), priority = null)
private val sound = document(stream, call)

private fun document(vararg routes: DocumentRoute) = Document(
    version = 7,
    routes = persistentListOf(*routes),
    services = persistentMapOf("engines" to engines, "book" to book),
    accounts = persistentListOf(account),
    limits = ClientLimits(),
)

private fun Document.withEngines(service: DocumentService) =
    copy(services = persistentMapOf("engines" to service, "book" to book))

private fun Document.withAccounts(vararg accounts: DocumentAccount) = copy(accounts = persistentListOf(*accounts))

/** Guards against findings in a sound document, and against entries that take no effect and are not found. */
class DocumentCheckTest {
    private val inR1 = persistentSetOf("r1")
    private val inR2 = persistentSetOf("r2")
    private val few = DeploymentFacts(servers = mapOf("engines" to 4, "book" to 1))

    private val cases: List<Triple<Document, DeploymentFacts, Finding>> = listOf(
        found(document(stream, call, call.copy(host = "H.example")), Refused("two routes share host 'h.example'")),
        found(document(stream, call.copy(host = "h.example:80")), NeverMatches("route 'list' matches no request")),
        found(document(stream, call.copy(pathPrefix = "/list?/")), NeverMatches("route 'list' matches no request")),
        found(
            document(stream.copy(targets = persistentListOf(RouteTarget("engines", 1), RouteTarget("book", 0)))),
            NeverMatches("gives service 'book' the weight 0"),
        ),
        found(document(stream), NeverMatches("no route names service 'book'")),
        found(document(stream, call.copy(resumable = true)), NeverMatches("route 'list' is resumable but no stream")),
        found(document(stream, call.copy(targetEventIntervalMs = 9)), NeverMatches("'list' has a target interval")),
        found(
            sound.withAccounts(account, account.copy("bar", persistentListOf())),
            NeverMatches("account 'bar' has no key"),
        ),
        found(
            document(stream.copy(allowedRegions = inR1), call.copy(isPublic = true))
                .withAccounts(account, account.copy("bar", persistentListOf("key-2"), allowedRegions = inR2)),
            NeverMatches("no route with keys admits account 'bar'"),
        ),
        found(
            document(stream.copy(allowedRegions = inR1), call).withAccounts(account.copy(allowedRegions = inR2)),
            NeverMatches("route 'draft' needs a key but admits no account"),
        ),
        found(
            sound.withAccounts(account.copy(allowedRegions = inR2)),
            Refused("account 'kitchen' names the unknown region 'r2'"),
            DeploymentFacts(regions = inR1),
        ),
        found(
            sound,
            NeverMatches("model 'm' of service 'engines' forms no group"),
            few.copy(servers = mapOf("engines" to 3)),
        ),
        found(sound, Contradiction("route 'draft' allows 2 attempts, and its services have at most 1"), few),
        found(document(stream.copy(targetLatencyMs = 8_001), call), Contradiction("(8001 ms) is above its timeout")),
        found(document(stream.copy(targetEventIntervalMs = 8_001), call), Contradiction("(8001 ms) is above its")),
        found(
            document(stream.copy(timeoutMs = 48), call),
            Contradiction("timeout of route 'draft' (48 ms) is below the 48.2"),
        ),
        found(
            document(stream.copy(targetLatencyMs = 48), call),
            Contradiction("target latency of route 'draft' (48 ms) is"),
        ),
        found(document(stream.copy(targetEventIntervalMs = 35), call), Contradiction("(35 ms) is below the 36.0 ms")),
        found(sound.withEngines(engines.copy(coldStartMs = 9)), Contradiction("are cold for 9 ms, but the rate")),
        found(
            sound.withEngines(engines.copy(costs = engines.costs?.copy(kvCacheTokens = 84))),
            Contradiction("a mean response of service 'engines' (85.0 tokens) is larger"),
        ),
        found(
            sound.withEngines(engines.copy(models = persistentListOf(model.copy(stagedLoadMs = 901)))),
            Contradiction("loads slower from its host (901 ms)"),
        ),
        found(sound.copy(limits = ClientLimits(maxBodyBytes = 0)), Contradiction("the limit of 0 bytes")),
    )

    private fun found(document: Document, finding: Finding, facts: DeploymentFacts = DeploymentFacts()) =
        Triple(document, facts, finding)

    @TestFactory
    fun `each finding has its kind and names the entry`() = cases.map { (document, facts, expected) ->
        DynamicTest.dynamicTest(expected.message) {
            expectThat(document.findings(facts)).any {
                get { javaClass }.isEqualTo(expected.javaClass)
                get { message }.contains(expected.message)
            }
        }
    }

    /** The limits are equal to those that the cases exceed by the least amount. */
    @Test
    fun `a sound document has no finding`() {
        expectThat(sound.findings()).isEmpty()
        val exact = stream.copy(timeoutMs = 400, targetLatencyMs = 400, targetEventIntervalMs = 36)
        val facts = DeploymentFacts(inR1, mapOf("engines" to 8, "book" to 2))
        expectThat(document(exact, call.copy(allowedRegions = inR1)).findings(facts)).isEmpty()
        expectThat(sound.copy(accounts = null).findings()).isEmpty()
    }

    /** Guards against a check that knows other rules than control, and against one that stops at the first error. */
    @Test
    fun `all errors are found, the first of them is the one of the validation`() {
        val broken = document(stream.copy(timeoutMs = 0), call.copy(pathPrefix = "list"), call, call)
        val refused = broken.findings().filterIsInstance<Refused>()
        expectThat(refused.map { it.message.substringBefore("'") }).containsExactly(
            "route ",
            "the prefix of route ",
            "two routes share host ",
        )
        expectThat(refused.first().message).isEqualTo(broken.validate()?.message)
    }

    @Test
    fun `differences name the entry and both values, and no key`() {
        val next = document(stream.copy(maxAttempts = 3), call.copy(pathPrefix = "/all/"))
            .withAccounts(account.copy(keys = persistentListOf("key-2")))
        val differences = next.copy(version = 8).differencesFrom(sound)
        expectThat(differences).containsExactly(
            Difference("route 'h.example/all/' is added"),
            Difference("route 'h.example/list/' is removed"),
            Difference("route 'h.example/draft/' changes attempts from 2 to 3"),
            Difference("account 'kitchen' changes keys: 1 added, 1 removed"),
        )
        expectThat(next.differencesFrom(sound).first()).isEqualTo(
            NeverMatches("the version 7 is not above 7, so the changes would be ignored; give a higher version"),
        )
        expectThat(sound.differencesFrom(sound.copy(version = 9))).isEmpty()
    }
}
