/*
 * JSON input from other processes. The parser is recursive and builds an object for each value, so unbounded input
 * overflows the stack of a thread or exhausts the memory of the process; both end more than the call that caused them.
 */
package org.bramleyspur.core.json

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.serializer

/** Maximum number of arrays and objects that may be open at once. */
const val MAX_JSON_DEPTH = 64

/** Maximum number of values in one text; a parsed value takes about 100 bytes. */
const val MAX_JSON_VALUES = 200_000

/** Parses [text]; throws a [SerializationException] if it is not JSON or exceeds a limit. */
fun Json.parseBounded(text: String): JsonElement {
    checkLimits(text)
    return parseToJsonElement(text)
}

/** Decodes [text]; throws a [SerializationException] if it is not JSON of this type or exceeds a limit. */
fun <T> Json.decodeBounded(deserializer: DeserializationStrategy<T>, text: String): T {
    checkLimits(text)
    return decodeFromString(deserializer, text)
}

/** Decodes [text]; throws a [SerializationException] if it is not JSON of this type or exceeds a limit. */
inline fun <reified T> Json.decodeBounded(text: String): T = decodeBounded(serializersModule.serializer<T>(), text)

private fun checkLimits(text: String) {
    var depth = 0
    var values = 1
    var position = 0
    while (position < text.length) {
        when (text[position]) {
            '"' -> position = endOfString(text, position)
            '[', '{' -> if (++depth > MAX_JSON_DEPTH) exceeds("$MAX_JSON_DEPTH levels of nesting")
            ']', '}' -> depth--
            ',' -> if (++values > MAX_JSON_VALUES) exceeds("$MAX_JSON_VALUES values")
        }
        position++
    }
}

/** Position of the quote that ends the string that begins at [start]; the text's length if there is none. */
private fun endOfString(text: String, start: Int): Int {
    var position = start + 1
    while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
    return position
}

private fun exceeds(limit: String): Nothing = throw SerializationException("it has more than $limit; send less")
