/*
 * Tokens of the operators' language. Every token is matched by a loop over the text, since Java regular expressions
 * with repeated groups recurse and overflow the stack on long inputs.
 */
package org.bramleyspur.language

import com.github.h0tk3y.betterParse.lexer.DefaultTokenizer
import com.github.h0tk3y.betterParse.lexer.Token
import com.github.h0tk3y.betterParse.lexer.TokenMatch

/** A token whose [length] is computed from the text and an offset; 0 means no match. */
internal class FunctionToken(name: String, ignored: Boolean = false, private val length: (CharSequence, Int) -> Int) :
    Token(name, ignored) {
    override fun match(input: CharSequence, fromIndex: Int): Int = length(input, fromIndex)
}

internal object Tokens {
    val space = FunctionToken("space", ignored = true) { text, from -> runLength(text, from) { it.isWhitespace() } }
    val comment = FunctionToken("comment", ignored = true, ::commentLength)
    val semicolon = FunctionToken("';'") { text, from -> if (text[from] == ';') 1 else 0 }
    val comma = FunctionToken("','") { text, from -> if (text[from] == ',') 1 else 0 }
    val number = FunctionToken("a number") { text, from -> runLength(text, from) { it in '0'..'9' } }
    val word = FunctionToken("a word", length = ::wordLength)
    val string = FunctionToken("a quoted string", length = ::stringLength)

    val tokenizer = DefaultTokenizer(listOf(space, comment, semicolon, comma, number, word, string))
}

/** Whether [text] is a single word, so that it can be written without quotes. */
internal fun isWord(text: String): Boolean = text.isNotEmpty() && wordLength(text, 0) == text.length

/** The value of a word or of a string, which loses its quotes. */
internal fun TokenMatch.value(): String = when (type) {
    Tokens.string -> text.substring(1, text.length - 1).replace("${text[0]}${text[0]}", "${text[0]}")
    else -> text
}

private inline fun runLength(text: CharSequence, from: Int, predicate: (Char) -> Boolean): Int {
    var end = from
    while (end < text.length && predicate(text[end])) end++
    return end - from
}

private fun commentLength(text: CharSequence, from: Int): Int = when {
    text[from] == '#' || text.startsWith("--", from) -> runLength(text, from) { it != '\n' }
    else -> 0
}

/** A word starts with a letter or underscore. Two hyphens end it, since they start a comment. */
private fun wordLength(text: CharSequence, from: Int): Int {
    if (!text[from].isLetter() && text[from] != '_') return 0
    var end = from + 1
    while (end < text.length && isWordPart(text, end)) end++
    return end - from
}

private fun isWordPart(text: CharSequence, index: Int): Boolean = when (text[index]) {
    '_', '.' -> true
    '-' -> text[index - 1] != '-' && text.getOrNull(index + 1) != '-'
    else -> text[index].isLetterOrDigit()
}

/** A string is enclosed in single or double quotes; the enclosing quote is doubled inside. */
private fun stringLength(text: CharSequence, from: Int): Int {
    val quote = text[from]
    if (quote != '\'' && quote != '"') return 0
    var index = from + 1
    while (index < text.length) {
        val doubled = text[index] == quote && text.getOrNull(index + 1) == quote
        if (text[index] == quote && !doubled) return index + 1 - from
        index += if (doubled) 2 else 1
    }
    return 0
}
