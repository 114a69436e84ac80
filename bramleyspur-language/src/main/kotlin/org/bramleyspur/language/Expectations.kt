/*
 * Error reporting of the parser. Alternatives and repetitions of better-parse forget why they stopped, so the
 * token parsers record what they expected. The furthest place in the text is the one that the operator got wrong.
 */
package org.bramleyspur.language

import com.github.h0tk3y.betterParse.lexer.Token
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.lexer.TokenMatchesSequence
import com.github.h0tk3y.betterParse.lexer.noneMatched
import com.github.h0tk3y.betterParse.parser.MismatchedToken
import com.github.h0tk3y.betterParse.parser.ParseResult
import com.github.h0tk3y.betterParse.parser.Parser
import com.github.h0tk3y.betterParse.parser.UnexpectedEof
import kotlinx.collections.immutable.toImmutableList

/** What the parsers of one text expected, and the first value that they rejected. */
internal class Expectations(private val text: String) {
    private var furthest = -1
    private val labels = linkedSetOf<String>()
    var rejection: SyntaxError? = null
        private set

    /** Records that [label] was expected at the token position [position]. */
    fun miss(position: Int, label: String) {
        if (position < furthest) return
        if (position > furthest) labels.clear()
        furthest = position
        labels.add(label)
    }

    /** Records that the value at [match] is of the right kind but not allowed. */
    fun reject(match: TokenMatch, message: String) {
        if (rejection == null) rejection = errorAt(match.offset, message)
    }

    /** The error at the furthest place that was reached. */
    fun furthestError(tokens: TokenMatchesSequence): SyntaxError {
        val found = tokens.getNotIgnored(furthest.coerceAtLeast(0))
        val list = labels.joinToString(" or ")
        val message = when {
            found == null -> "expected $list, found the end of the text"
            found.type != noneMatched -> "expected $list, found ${abbreviate(found.text)}"
            text[found.offset] in "'\"" -> "the string that starts here is not closed"
            else -> "expected $list, found the character ${text[found.offset]}"
        }
        return errorAt(found?.offset ?: text.length, message).copy(expected = labels.toImmutableList())
    }

    private fun errorAt(offset: Int, message: String): SyntaxError {
        val before = text.substring(0, offset)
        return SyntaxError(before.count { it == '\n' } + 1, offset - before.lastIndexOf('\n'), message)
    }

    private fun abbreviate(token: String): String =
        if (token.length <= MAX_SHOWN_CHARACTERS) token else token.take(MAX_SHOWN_CHARACTERS) + "..."

    private companion object {
        /** Keeps a message on one line of a terminal. */
        const val MAX_SHOWN_CHARACTERS = 40
    }
}

/** Accepts a token of [type] that [accepts] accepts, and records [label] when another one is found. */
internal class ExpectedToken(
    private val type: Token,
    private val label: String,
    private val expectations: Expectations,
    private val accepts: (TokenMatch) -> Boolean = { true },
) : Parser<TokenMatch> {
    override fun tryParse(tokens: TokenMatchesSequence, fromPosition: Int): ParseResult<TokenMatch> {
        val match = tokens.getNotIgnored(fromPosition)
        if (match != null && match.type == type && accepts(match)) return match
        expectations.miss(fromPosition, label)
        return if (match == null) UnexpectedEof(type) else MismatchedToken(type, match)
    }
}
