/*
 * Tokens of the operators' language. Every token is matched by a loop over the text: Java regular expressions with
 * repeated groups recurse and overflow the stack on long inputs.
 */
package org.bramleyspur.language

import com.github.h0tk3y.betterParse.lexer.DefaultTokenizer
import com.github.h0tk3y.betterParse.lexer.Token
import com.github.h0tk3y.betterParse.lexer.TokenMatch

/** A token whose [length] is computed from the text and an offset; 0 means that the token is not there. */
internal class FunctionToken(name: String, ignored: Boolean = false, private val length: (CharSequence, Int) -> Int) :
    Token(name, ignored) {
    override fun match(input: CharSequence, fromIndex: Int): Int = length(input, fromIndex)
}

/** The kinds of token. */
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

/** Whether [text] is one word, so that it can be written without quotes. */
internal fun isWord(text: String): Boolean = text.isNotEmpty() && wordLength(text, 0) == text.length

/** The value of a word or quoted string. */
internal fun TokenMatch.value(): String = when (type) {
    Tokens.string -> text.substring(1, text.length - 1).replace("${text[0]}${text[0]}", "${text[0]}")
    else -> text
}

private inline fun runLength(text: CharSequence, from: Int, accept: (Char) -> Boolean): Int {
    var end = from
    while (end < text.length && accept(text[end])) end++
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

private fun isWordPart(text: CharSequence, at: Int): Boolean = when (text[at]) {
    '_', '.' -> true
    '-' -> text[at - 1] != '-' && text.getOrNull(at + 1) != '-'
    else -> text[at].isLetterOrDigit()
}

/** A string is enclosed in single or double quotes; the enclosing quote is doubled inside. */
private fun stringLength(text: CharSequence, from: Int): Int {
    val quote = text[from]
    if (quote != '\'' && quote != '"') return 0
    var at = from + 1
    while (at < text.length) {
        val doubled = text[at] == quote && text.getOrNull(at + 1) == quote
        if (text[at] == quote && !doubled) return at + 1 - from
        at += if (doubled) 2 else 1
    }
    return 0
}
