package org.bramleyspur.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.control.state.Submit
import org.bramleyspur.control.state.SubmitResult
import org.bramleyspur.control.state.apply
import org.bramleyspur.control.state.toStatements
import org.bramleyspur.core.model.Revision
import org.bramleyspur.language.parse
import org.bramleyspur.language.toText
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against differences that are refused, or that lead to another configuration than the declared one. */
class DiffTest {
    class Case(val running: String, val declared: String, vararg val difference: String) {
        override fun toString() = "$running -> $declared"
    }

    private fun declaration(text: String): Declaration =
        checkNotNull(Declaration.of(checkNotNull(parse(text).get())).get())

    @ParameterizedTest
    @MethodSource("cases")
    fun `the difference holds only what differs`(case: Case) {
        expectThat(difference(declaration(case.running), declaration(case.declared)).map { it.toText() })
            .isEqualTo(case.difference.toList())
    }

    /** The difference is run by the control state machine itself, which refuses wrong references and orders. */
    @Property(seed = "20260301", tries = 500)
    fun `the difference of two configurations is accepted and leaves no difference`(
        @ForAll("configurations") running: String,
        @ForAll("configurations") declared: String,
    ) {
        val started = submit(ControlState(), running)
        val statements = difference(declarationOf(started), declaration(declared))
        val changed = if (statements.isEmpty()) started else submit(started, statements.toText())
        expectThat(difference(declarationOf(changed), declaration(declared))).isEmpty()
        expectThat(targets(declarationOf(changed))).isEqualTo(targets(declaration(declared)))
    }

    private fun submit(state: ControlState, text: String): ControlState {
        val index = state.appliedIndex + 1
        val applied = apply(state, index, Submit("c$index", Revision.NONE, text, 0))
        val result = applied.result as SubmitResult
        expectThat(result.accepted || text.isBlank()).describedAs { "$text: ${result.message}" }.isTrue()
        return applied.state
    }

    private fun declarationOf(state: ControlState) = declaration(state.configuration.toStatements().toText())

    /** A declaration with the versions that the services end at, in place of the present ones. */
    private fun targets(declaration: Declaration): Any = listOf(
        declaration.accounts.toMap(),
        declaration.drained.toSet(),
        declaration.services.mapValues { (name, service) ->
            service.copy(properties = service.properties.copy(version = declaration.targetVersion(name)))
        },
    )

    @Provide
    fun configurations(): Arbitrary<String> = Combinators
        .combine(
            accounts(),
            service("s1"),
            service("s2"),
            Arbitraries.of("", "drain instance i1;", "drain instance i2"),
        )
        .`as` { accounts, one, two, drains -> accounts + one + two + drains }

    private fun accounts(): Arbitrary<String> = Combinators
        .combine(Arbitraries.of('a', 'b'), Arbitraries.integers().between(1, 3), Arbitraries.of(true, false))
        .`as` { digit, weight, extra ->
            val other = if (digit == 'a') 'b' else 'a'
            val second = "create account k2 key sha256 '${other.toString().repeat(64)}';".takeIf { extra }.orEmpty()
            "create account k1 key sha256 '${digit.toString().repeat(64)}' weight $weight;$second"
        }

    private fun service(name: String): Arbitrary<String> {
        val model = Combinators
            .combine(
                Arbitraries.of("m1", "m2"),
                Arbitraries.of("v1", "v2"),
                Arbitraries.of("", "v1", "v2", "v3"),
                Arbitraries.of("replicas dc1 1", "replicas dc1 2, dc2 1", "adapters a, b instances 2", ""),
                Arbitraries.of("accounts k1", "timeout 5 s", "non idempotent", ""),
            ).`as` { model, version, next, first, second ->
                val rollOut = "roll out $name to $next;".takeIf { next.isNotEmpty() && next != version }.orEmpty()
                "create service $name model $model version $version $first $second;$rollOut"
            }
        val plain = Arbitraries.of("accounts k1", "retention 1 h", "").map { "create service $name plain $it;" }
        return Arbitraries.oneOf(model, plain, Arbitraries.just(""))
    }

    private companion object {
        const val MODEL = "create service s model m version v1"
        val key = "0".repeat(64)

        @JvmStatic
        fun cases() = listOf(
            Case("", ""),
            Case(
                "$MODEL replicas dc1 2, dc2 1 accounts none",
                "$MODEL instances 1 timeout 120 s replicas dc2 1, dc1 2",
            ),
            Case("create service s plain accounts a, b", "create service s plain accounts b, a, a retention 1 d"),
            Case("$MODEL adapters a, b", "$MODEL adapters b, a", "alter service s adapters 'b', 'a'"),
            Case("$MODEL accounts a", MODEL, "alter service s accounts none"),
            Case(MODEL, "", "drop service s"),
            Case("create account k key sha256 '$key'", "", "drop account k"),
            Case("create account k weight 2", "create account k limit 3", "alter account k limit 3 weight 1"),
            Case(
                "create service s plain",
                MODEL,
                "drop service s",
                "create service s model 'm' version 'v1' adapters none instances 1 replicas none accounts none " +
                    "idempotent retention 1 d timeout 2 m",
            ),
            Case(MODEL, "create service s model m version v2", "roll out s to 'v2'"),
            Case(MODEL, "$MODEL; roll out s to v2", "roll out s to 'v2'"),
            Case("$MODEL; roll out s to v2", "$MODEL; roll out s to v2"),
            Case("$MODEL; roll out s to v2", "$MODEL; roll out s to v3", "roll out s to 'v3'"),
            Case("$MODEL; roll out s to v2", MODEL, "roll back s"),
            Case("create service s model m version v2", "$MODEL; roll out s to v2"),
            Case("drain instance i1", "drain instance i2", "return instance i1", "drain instance i2"),
        )
    }
}
