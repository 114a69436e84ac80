/*
 * Error reporting of the parser. The alternatives and repetitions of better-parse discard the error that ended them, so
 * the token parsers record what they expected. The error is reported at the furthest position that they reached, since
 * the text before it is valid.
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

/** Records what the parsers of one text expected, and the first value that they rejected. */
internal class Expectations(private val text: String) {
    private var furthestPosition = -1
    private val expectedLabels = linkedSetOf<String>()
    var rejection: SyntaxError? = null
        private set

    /** Records that [label] was expected at token [position]; only the furthest position is retained. */
    fun recordExpected(position: Int, label: String) {
        if (position < furthestPosition) return
        if (position > furthestPosition) expectedLabels.clear()
        furthestPosition = position
        expectedLabels.add(label)
    }

    /** Records that the value at [match] is well-formed but invalid. */
    fun reject(match: TokenMatch, message: String) {
        if (rejection == null) rejection = errorAt(match.offset, message)
    }

    /** The syntax error at the furthest position that was reached. */
    fun furthestError(tokens: TokenMatchesSequence): SyntaxError {
        val found = tokens.getNotIgnored(furthestPosition.coerceAtLeast(0))
        val expectedText = expectedLabels.joinToString(" or ")
        val message = when {
            found == null -> "expected $expectedText, found the end of the text"
            found.type != noneMatched -> "expected $expectedText, found ${abbreviate(found.text)}"
            text[found.offset] in "'\"" -> "the string that starts here is not closed"
            else -> "expected $expectedText, found the character ${text[found.offset]}"
        }
        return errorAt(found?.offset ?: text.length, message).copy(expected = expectedLabels.toImmutableList())
    }

    private fun errorAt(offset: Int, message: String): SyntaxError {
        val textBefore = text.substring(0, offset)
        return SyntaxError(textBefore.count { it == '\n' } + 1, offset - textBefore.lastIndexOf('\n'), message)
    }

    private fun abbreviate(token: String): String =
        if (token.length <= MAX_SHOWN_TOKEN_CHARACTERS) token else token.take(MAX_SHOWN_TOKEN_CHARACTERS) + "..."

    private companion object {
        /** Longest part of a token in a message, so that the message fits on one line of a terminal. */
        const val MAX_SHOWN_TOKEN_CHARACTERS = 40
    }
}

/** Parses a token of [type] that satisfies [predicate]; records [label] as expected when it finds another token. */
internal class ExpectedToken(
    private val type: Token,
    private val label: String,
    private val expectations: Expectations,
    private val predicate: (TokenMatch) -> Boolean = { true },
) : Parser<TokenMatch> {
    override fun tryParse(tokens: TokenMatchesSequence, fromPosition: Int): ParseResult<TokenMatch> {
        val match = tokens.getNotIgnored(fromPosition)
        if (match != null && match.type == type && predicate(match)) return match
        expectations.recordExpected(fromPosition, label)
        return if (match == null) UnexpectedEof(type) else MismatchedToken(type, match)
    }
}
