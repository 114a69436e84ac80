package org.bramleyspur.language

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against statements that parse to something other than what the operator wrote. */
class ParseTest {
    @ParameterizedTest
    @MethodSource("statements")
    fun `each statement parses to the expected value`(case: Pair<String, Statement>) {
        expectThat(parse(case.first).get()).isNotNull().containsExactly(case.second)
    }

    @Test
    fun `several statements are parsed in order, without comments and empty statements`() {
        val text = """
            # accounts first
            show services;; -- trailing comment; drop service a
            drop service a--no space needed
            ;
        """.trimIndent()
        expectThat(parse(text).get()).isNotNull().containsExactly(Show(Subject.SERVICES), DropService("a"))
    }

    @Test
    fun `a text without statements gives an empty list`() {
        expectThat(listOf("", "  \n", ";;", "# only a comment").map { parse(it).get()?.size })
            .isEqualTo(listOf<Int?>(0, 0, 0, 0))
    }

    private companion object {
        val recipes = ServiceProperties(
            model = "sausage-7b",
            version = "v1",
            adapters = persistentListOf("a", "b"),
            instancesPerReplica = 4,
            placements = persistentMapOf("dc1" to 2, "dc2" to 1),
            accounts = persistentListOf("kitchen", "butcher"),
        )

        val book = ServiceProperties(
            accounts = persistentListOf("kitchen"),
            nonIdempotent = true,
            idempotencyRetentionMs = 86_400_000,
        )

        val kitchen = AccountProperties("HEX", maxConcurrent = 100, weight = 2, priority = 1, patienceMs = 300)

        @JvmStatic
        fun statements(): List<Pair<String, Statement>> = services() + accounts() + operations() + queries()

        fun services() = listOf(
            "create service recipes model 'sausage-7b' version 'v1' adapters 'a','b' instances 4 " +
                "replicas dc1 2, dc2 1 accounts 'kitchen','butcher'" to CreateService("recipes", false, recipes),
            "CREATE Service recipes accounts kitchen, butcher replicas dc1 2,dc2 1 model sausage-7b version v1 " +
                "adapter a, b instances 4" to CreateService("recipes", false, recipes),
            "create service book plain accounts 'kitchen' non idempotent retention 24 h" to
                CreateService("book", true, book),
            "create service book account kitchen non-idempotent retention 1d plain" to
                CreateService("book", true, book),
            "create service model model model" to CreateService("model", false, ServiceProperties(model = "model")),
            "alter service recipes adapters none accounts none replicas none" to
                AlterService(
                    "recipes",
                    ServiceProperties(
                        adapters = persistentListOf(),
                        accounts = persistentListOf(),
                        placements = persistentMapOf(),
                    ),
                ),
            "alter service book idempotent timeout 1500 ms" to
                AlterService("book", ServiceProperties(nonIdempotent = false, timeoutMs = 1500)),
            "drop service \"it's\"" to DropService("it's"),
            "drop service 'it''s'" to DropService("it's"),
            "roll out recipes to 'v2'" to RollOut("recipes", "v2"),
            "rollout recipes to v2" to RollOut("recipes", "v2"),
            "roll back recipes" to RollBack("recipes"),
        )

        fun accounts() = listOf(
            "create account kitchen key sha256 'HEX' limit 100 weight 2 priority 1 patience 300 ms" to
                CreateAccount("kitchen", kitchen),
            "alter account kitchen limit none" to AlterAccount("kitchen", AccountProperties(maxConcurrent = 0)),
            "alter account Kerhervé patience 2 S" to AlterAccount("Kerhervé", AccountProperties(patienceMs = 2000)),
            "drop account kitchen" to DropAccount("kitchen"),
        )

        fun operations() = listOf(
            "drain instance i1" to DrainInstance("i1"),
            "return instance i1" to ReturnInstance("i1"),
            "evacuate data centre pl-north-a" to EvacuateDataCentre("pl-north-a"),
            "return data centre 'data'" to ReturnDataCentre("data"),
            "admit control 'c4' at '10.0.0.4:7100'" to AdmitControl("c4", "10.0.0.4:7100"),
            "ADMIT control c4 at '[::1]:7100' in place of c1" to AdmitControl("c4", "[::1]:7100", "c1"),
            "admit control at at 'a:1' in place of of" to AdmitControl("at", "a:1", "of"),
            "remove control 'c1'" to RemoveControl("c1"),
        )

        fun queries() = listOf(
            "show services" to Show(Subject.SERVICES),
            "show service recipes" to Show(Subject.SERVICES, "recipes"),
            "show replicas of recipes" to Show(Subject.REPLICAS, "recipes"),
            "show replicas" to Show(Subject.REPLICAS),
            "show instances" to Show(Subject.INSTANCES),
            "show instances of recipes;" to Show(Subject.INSTANCES, "recipes"),
            "show accounts" to Show(Subject.ACCOUNTS),
            "show changes" to Show(Subject.CHANGES),
            "show change 42" to ShowChange(42),
            "show control" to Show(Subject.CONTROL),
            "show evacuations" to Show(Subject.EVACUATIONS),
            "show configuration" to Show(Subject.CONFIGURATION),
            "why recipes" to Why("recipes"),
        )
    }
}
