/*
 * The text that the stand-in engine generates. Token i depends only on model, version, adapter, prompt and i, so any
 * engine can continue a generation of another one exactly, and a test can compute the expected text.
 */
package org.bramleyspur.testbed.engine

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Default length of a completion in tokens. */
const val DEFAULT_MAX_TOKENS = 64

/** The tokens of one completion as a function of their position. Their texts need no escaping in JSON. */
class TokenFunction(model: String, version: String, adapter: String?, prompt: String) {
    private val seed = seedOf(listOf(model, version, adapter.orEmpty(), prompt))

    /** Returns the text of the token at [position], counted from 0. */
    fun token(position: Int): String {
        var bits = mix(seed + (position + 1) * GOLDEN_GAMMA)
        val letters = CharArray(1 + MIN_LETTERS + (bits and 3).toInt())
        letters[0] = ' '
        bits = bits ushr 2
        for (i in 1 until letters.size) {
            letters[i] = 'a' + (bits and 0xff).toInt() % 26
            bits = bits ushr 8
        }
        return String(letters)
    }

    /** Returns the joined texts of the first [length] tokens, as in a completion with `max_tokens` [length]. */
    fun text(length: Int): String = buildString { repeat(length) { append(token(it)) } }
}

/** Returns the prompt text of a chat request: `ROLE: CONTENT` and a line feed for each message. */
fun chatPrompt(messages: List<Pair<String, String>>): String =
    messages.joinToString(separator = "") { (role, content) -> "$role: $content\n" }

private const val MIN_LETTERS = 3

/** Constants of the SplitMix64 generator, which distributes consecutive inputs evenly. */
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L

private fun mix(input: Long): Long {
    val first = (input xor (input ushr 30)) * MIX_MULTIPLIER_1
    val second = (first xor (first ushr 27)) * MIX_MULTIPLIER_2
    return second xor (second ushr 31)
}

private fun seedOf(parts: List<String>): Long {
    val digest = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        val bytes = part.toByteArray()
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
        digest.update(bytes)
    }
    return ByteBuffer.wrap(digest.digest()).long
}
