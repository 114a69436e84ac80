package org.bramleyspur.traffic.quarantine

import org.bramleyspur.traffic.quarantine.PartObservation.EngineEnded
import org.bramleyspur.traffic.quarantine.PartObservation.Survived
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isSameInstanceAs
import strikt.assertions.isTrue
import java.util.Random

/** Guards against a part that crashes engines and is never blocked, and against sound parts that are blocked. */
class PartQuarantineTest {
    private fun ended(part: String, engine: Int) = EngineEnded(part, EngineLife("e$engine", 1))

    private fun after(vararg observations: PartObservation) =
        observations.fold(PartQuarantine()) { state, observation -> state.with(observation, NOW_MS) }

    private class Case(
        val name: String,
        val observations: List<PartObservation>,
        val parts: List<String>,
        val blocked: Boolean,
        val retry: Boolean,
    )

    private val both = (1..3).flatMap { listOf(ended("caller", it), ended("bad", it)) }

    private val cases = listOf(
        Case("nothing known", emptyList(), listOf("bad"), blocked = false, retry = true),
        Case("one engine", listOf(ended("bad", 1)), listOf("bad"), blocked = false, retry = true),
        Case("two engines", (1..2).map { ended("bad", it) }, listOf("bad"), blocked = false, retry = false),
        Case("three engines", (1..3).map { ended("bad", it) }, listOf("bad"), blocked = true, retry = false),
        Case("one engine reported three times", List(3) { ended("bad", 1) }, listOf("bad"), false, retry = true),
        Case("two parts always together", both, listOf("caller", "bad"), blocked = true, retry = false),
        Case("only one of two parts", both, listOf("caller"), blocked = false, retry = true),
        Case("the other of two parts", both, listOf("bad"), blocked = false, retry = true),
        Case("the common part survived", both + Survived("caller"), listOf("other", "bad"), true, retry = false),
        Case("the common part after it survived", both + Survived("caller"), listOf("caller"), false, retry = true),
        Case("one part alone on a fourth engine", both + ended("bad", 4), listOf("x", "bad"), true, retry = false),
        Case("the common part of that case", both + ended("bad", 4), listOf("caller"), false, retry = true),
        Case("an end repeated after a survival", both + Survived("caller") + both, listOf("caller"), false, true),
        Case("ends before a survival", (1..3).map { ended("p", it) } + Survived("p"), listOf("p"), false, true),
    )

    @TestFactory
    fun `which requests are blocked`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val state = after(*case.observations.toTypedArray())
            val verdict = state.verdict(case.parts, NOW_MS, delayFactor = 1.0)
            expectThat(verdict is PartVerdict.Blocked).isEqualTo(case.blocked)
            expectThat(state.allowsRetry(case.parts)).isEqualTo(case.retry)
        }
    }

    @Test
    fun `a blocked part is tested once in an interval that doubles with each further engine`() {
        val blocked = after(*(1..3).map { ended("bad", it) }.toTypedArray())
        fun PartQuarantine.at(seconds: Long) = verdict(listOf("bad"), NOW_MS + seconds * 1_000, delayFactor = 1.0)
        expectThat(blocked.at(29)).isA<PartVerdict.Blocked>()
        expectThat(blocked.at(30)).isA<PartVerdict.Test>()
        val tested = blocked.withTest("bad", NOW_MS + 30_000)
        expectThat(tested.at(59)).isA<PartVerdict.Blocked>()
        val endedAgain = tested.with(ended("bad", 4), NOW_MS + 31_000)
        expectThat(endedAgain.at(90)).isA<PartVerdict.Blocked>()
        expectThat(endedAgain.at(91)).isA<PartVerdict.Test>()
        expectThat(tested.with(Survived("bad"), NOW_MS + 31_000).at(32)).isEqualTo(PartVerdict.Allowed)
    }

    @Test
    fun `another process reaches the same verdict from the observations that are handed over`() {
        val state = after(*both.toTypedArray(), Survived("caller"))
        val copy = after(*state.observations().toTypedArray())
        expectThat(copy.verdict(listOf("bad"), NOW_MS, 1.0)).isEqualTo(state.verdict(listOf("bad"), NOW_MS, 1.0))
        expectThat(copy.with(ended("bad", 1), NOW_MS)).isSameInstanceAs(copy)
    }

    @Test
    fun `suspicions are bounded and expire`() {
        var state = PartQuarantine()
        repeat(10_000) { state = state.with(ended("p$it", it), NOW_MS + it) }
        expectThat(state.suspects.size <= 1_000).isTrue()
        expectThat(state.expire(NOW_MS + 2_000_000).suspects.isEmpty()).isTrue()
    }

    @Test
    fun `observations in any order lead to the same verdicts`() {
        val observations = both + ended("bad", 4) + ended("other", 4)
        for (seed in 1L..200L) {
            val state = after(*observations.shuffled(Random(seed)).toTypedArray())
            expectThat(state.verdict(listOf("any", "bad"), NOW_MS, 1.0)).isA<PartVerdict.Blocked>()
            expectThat(state.verdict(listOf("caller"), NOW_MS, 1.0)).isEqualTo(PartVerdict.Allowed)
            expectThat(state.allowsRetry(listOf("bad"))).isFalse()
        }
    }

    private val headers = listOf(
        null to emptyList(),
        "" to emptyList(),
        "a:10" to emptyList(),
        "a:10,b:5" to listOf("a"),
        " a:10 , b:5,a:10,c:1" to listOf("a", "b"),
    )

    @TestFactory
    fun `shared parts of a header`() = headers.map { (header, expected) ->
        DynamicTest.dynamicTest("header '$header'") { expectThat(sharedParts(header)).isEqualTo(expected) }
    }

    private companion object {
        const val NOW_MS = 1_000_000L
    }
}
