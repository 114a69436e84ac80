package org.bramleyspur.language

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against `show configuration` and `diff` writing statements that parse to other ones. */
class FormatTest {
    @Property(seed = "20260103", tries = 1000)
    fun `formatted statements parse to equal statements`(@ForAll("statements") statements: List<Statement>) {
        val text = statements.toText()
        expectThat(parse(text).get()).isNotNull().isEqualTo(statements.toImmutableList())
    }

    @Test
    fun `names are quoted only where needed`() {
        val statements =
            listOf(DropService("a-b"), DropService("none"), DropService("a--b"), DropService("7b"), DropService("x y"))
        expectThat(statements.map { it.toText() }).containsExactly(
            "drop service a-b",
            "drop service 'none'",
            "drop service 'a--b'",
            "drop service '7b'",
            "drop service 'x y'",
        )
    }

    @Test
    fun `durations use the largest unit that divides them`() {
        val texts = listOf(0L, 300L, 90_000L, 86_400_000L).map {
            AlterAccount("k", AccountProperties(patienceMs = it)).toText().substringAfter("patience ")
        }
        expectThat(texts).containsExactly("0 ms", "300 ms", "90 s", "1 d")
    }

    @Provide
    fun statements(): Arbitrary<List<Statement>> = Arbitraries
        .oneOf(services(), accounts(), statementsWithName(), queries())
        .list()
        .ofMaxSize(5)

    private fun names(): Arbitrary<String> = Arbitraries.oneOf(
        Arbitraries.of("a", "none", "NONE", "it's", "say \"x\"", "a--b", "7b", "", "x;y", "line\nbreak", "of", "plain"),
        Arbitraries.strings().ofMaxLength(10),
    )

    private fun numbers(): Arbitrary<Int> = Arbitraries.integers().greaterOrEqual(0)

    private fun durations(): Arbitrary<Long> =
        Arbitraries.oneOf(Arbitraries.longs().greaterOrEqual(0), Arbitraries.of(0L, 1000L, 60_000L, 3_600_000L))

    private fun services(): Arbitrary<Statement> {
        val lists = names().list().ofMaxSize(3).map { it.toImmutableList() }
        val placements = Arbitraries.maps(names(), numbers()).ofMaxSize(3).map { it.toImmutableMap() }
        val properties = Combinators
            .combine(
                names(),
                lists.injectNull(0.3),
                numbers().injectNull(0.3),
                placements.injectNull(0.3),
                durations().injectNull(0.3),
            )
            .`as` { name, list, number, placement, duration ->
                ServiceProperties(
                    name, "v", list, number, placement, list,
                    number?.let {
                        it % 2 == 0
                    },
                    duration, duration,
                )
            }
        return Combinators.combine(names(), properties, Arbitraries.of(0, 1, 2)).`as` { name, p, kind ->
            if (kind == 0) AlterService(name, p) else CreateService(name, kind == 1, p)
        }
    }

    private fun accounts(): Arbitrary<Statement> = Combinators
        .combine(
            names(),
            names().injectNull(0.3),
            numbers().injectNull(0.3),
            numbers(),
            durations(),
            Arbitraries.of(true, false),
        )
        .`as` { name, key, limit, weight, patience, create ->
            val properties = AccountProperties(key, limit, weight, weight, patience)
            if (create) CreateAccount(name, properties) else AlterAccount(name, properties)
        }

    private fun statementsWithName(): Arbitrary<Statement> =
        Combinators.combine(names(), names(), Arbitraries.of(0, 1, 2, 3, 4, 5, 6, 7, 8)).`as` {
                name,
                value,
                kind,
            ->
            when (kind) {
                0 -> DropService(name)
                1 -> DropAccount(name)
                2 -> DrainInstance(name)
                3 -> ReturnInstance(name)
                4 -> RollOut(name, value)
                5 -> AdmitControl(name, value)
                6 -> AdmitControl(name, "127.0.0.1:1", value)
                7 -> RemoveControl(name)
                else -> RollBack(name)
            }
        }

    private fun queries(): Arbitrary<Statement> = Arbitraries.oneOf(
        Arbitraries.of(Subject::class.java).map { Show(it) },
        Combinators.combine(Arbitraries.of(Subject.SERVICES, Subject.REPLICAS, Subject.INSTANCES), names()).`as` {
                subject,
                service,
            ->
            Show(subject, service)
        },
        durations().map { ShowChange(it) },
        names().map { Why(it) },
    )
}
