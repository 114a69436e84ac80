/*
 * The prefix cache: the blocks of prompt text that an engine has already computed, with events that publish changes.
 */
package org.bramleyspur.testbed.engine

import java.security.MessageDigest
import java.util.HexFormat

/** Size of a cached block of prompt text in bytes. */
internal const val PREFIX_BLOCK_BYTES = 256

private const val DIGEST_CHARACTERS = 16

/** Returns the digests of the first 256 * k bytes of [prompt], for each k from 1. */
internal fun prefixDigests(prompt: ByteArray): List<String> {
    val digest = MessageDigest.getInstance("SHA-256")
    return (0 until prompt.size / PREFIX_BLOCK_BYTES).map { block ->
        digest.update(prompt, block * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES)
        val prefix = (digest.clone() as MessageDigest).digest()
        HexFormat.of().formatHex(prefix).take(DIGEST_CHARACTERS)
    }
}

/** An LRU cache of [capacity] blocks that passes each change to [publish]. */
internal class PrefixCache(private val capacity: Int, private val publish: (kind: String, prefix: String) -> Unit) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)

    /** Stores the blocks of [prompt] and returns the number of leading bytes that were already cached. */
    fun use(prompt: ByteArray): Int {
        val digests = prefixDigests(prompt)
        val cached = digests.takeWhile { blocks[it] != null }.size
        digests.drop(cached).forEach(::store)
        return cached * PREFIX_BLOCK_BYTES
    }

    /** Evicts all blocks, as when other weights are loaded. */
    fun clear() {
        blocks.keys.forEach { publish("evicted", it) }
        blocks.clear()
    }

    private fun store(prefix: String) {
        blocks[prefix] = Unit
        publish("stored", prefix)
        if (blocks.size <= capacity) return
        val eldest = blocks.keys.first()
        blocks.remove(eldest)
        publish("evicted", eldest)
    }
}
