package org.bramleyspur.language

import com.github.h0tk3y.betterParse.parser.ErrorResult
import com.github.h0tk3y.betterParse.parser.Parsed
import com.github.h0tk3y.betterParse.parser.tryParseToEnd
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Longest text that [parse] accepts, in characters; bounds the time and memory spent on one text. */
const val MAX_TEXT_LENGTH = 1_048_576

/**
 * Parses the statements of [text], which are separated by semicolons. `#` and `--` start comments that end with the
 * line. Invalid text gives a [SyntaxError]; no exception is thrown.
 */
fun parse(text: String): Result<ImmutableList<Statement>, SyntaxError> {
    if (text.length > MAX_TEXT_LENGTH) {
        return Err(SyntaxError(1, 1, "the text is longer than $MAX_TEXT_LENGTH characters; split it"))
    }
    val expectations = Expectations(text)
    val tokens = Tokens.tokenizer.tokenize(text)
    return when (val result = StatementGrammar(expectations).statements.tryParseToEnd(tokens, 0)) {
        is ErrorResult -> Err(expectations.rejection ?: expectations.furthestError(tokens))
        is Parsed -> expectations.rejection?.let { Err(it) } ?: Ok(result.value.toImmutableList())
    }
}
