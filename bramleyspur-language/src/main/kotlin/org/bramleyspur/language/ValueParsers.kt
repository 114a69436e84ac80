package org.bramleyspur.language

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.separatedTerms
import com.github.h0tk3y.betterParse.combinators.use
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.parser.Parser
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** Units of a duration with their lengths in milliseconds, longest first. */
internal val durationUnits = listOf("d" to 86_400_000L, "h" to 3_600_000L, "m" to 60_000L, "s" to 1000L, "ms" to 1L)

/** Keyword for an empty list, and for no limit. */
internal const val NONE = "none"

/** Parsers of keywords and values. */
internal class ValueParsers(private val expectations: Expectations) {
    val comma: Parser<TokenMatch> = ExpectedToken(Tokens.comma, "','", expectations)
    val semicolon: Parser<TokenMatch> = ExpectedToken(Tokens.semicolon, "';'", expectations)

    private val numberToken = ExpectedToken(Tokens.number, "a number", expectations)

    /** A name or other text, quoted or not. */
    val name: Parser<String> = nameToken("a name").map { it.value() }

    /** A whole number from 0 to 2147483647. */
    val int: Parser<Int> = numberToken.map { match ->
        match.text.toIntOrNull() ?: 0.also { rejectNumber(match, Int.MAX_VALUE.toLong()) }
    }

    /** A whole number from 0 to 9223372036854775807. */
    val long: Parser<Long> = numberToken.map { match -> parseLong(match) }

    /** Milliseconds of a duration such as `300 ms`. */
    val duration: Parser<Long> = numberToken and durationUnit() map { (number, unit) -> milliseconds(number, unit) }

    /** Names separated by commas, or `none`. */
    val names: Parser<ImmutableList<String>> =
        keyword(NONE).map { persistentListOf<String>() } or
            separatedTerms(name, comma).map { it.toImmutableList() }

    /** Pairs of data centre and number of replicas, separated by commas, or `none`. */
    val placements: Parser<ImmutableMap<String, Int>> =
        keyword(NONE).map { persistentMapOf<String, Int>() } or
            separatedTerms(nameToken("a data centre") and int, comma).map { pairs ->
                placements(
                    pairs.map {
                        it.t1 to
                            it.t2
                    },
                )
            }

    /** One of [spellings], ignoring case. */
    fun keyword(vararg spellings: String): Parser<TokenMatch> =
        ExpectedToken(Tokens.word, spellings.first(), expectations) { match ->
            spellings.any { it.equals(match.text, ignoreCase = true) }
        }

    /** The keyword [first] followed by [second]; gives the match of [first]. */
    fun keywords(first: String, second: String): Parser<TokenMatch> = keyword(first) and keyword(second) use { t1 }

    private fun nameToken(label: String): Parser<TokenMatch> =
        ExpectedToken(Tokens.word, label, expectations) or ExpectedToken(Tokens.string, label, expectations)

    private fun durationUnit(): Parser<TokenMatch> = ExpectedToken(
        Tokens.word,
        "a unit (${durationUnits.reversed().joinToString {
            it.first
        }})",
        expectations,
    ) { match ->
        durationUnits.any { it.first.equals(match.text, ignoreCase = true) }
    }

    private fun parseLong(match: TokenMatch): Long =
        match.text.toLongOrNull() ?: 0L.also { rejectNumber(match, Long.MAX_VALUE) }

    private fun milliseconds(number: TokenMatch, unit: TokenMatch): Long {
        val unitMs = durationUnits.first { it.first.equals(unit.text, ignoreCase = true) }.second
        val count = parseLong(number)
        if (count <= Long.MAX_VALUE / unitMs) return count * unitMs
        rejectNumber(number, Long.MAX_VALUE / unitMs)
        return 0
    }

    private fun placements(pairs: List<Pair<TokenMatch, Int>>): ImmutableMap<String, Int> {
        val seenNames = mutableSetOf<String>()
        pairs.filterNot { seenNames.add(it.first.value()) }.forEach { (match, _) ->
            expectations.reject(match, "the data centre ${match.value()} is given twice; give it once")
        }
        return pairs.associate { (match, count) -> match.value() to count }.toImmutableMap()
    }

    private fun rejectNumber(match: TokenMatch, maxValue: Long) =
        expectations.reject(match, "the number is too large; the largest value here is $maxValue")
}
