package org.bramleyspur.daemon.caller.request

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Bytes of the prompt per prefix digest; the engines' cache events use the same block size. */
private const val BLOCK_BYTES = 256

/** Limits prefixes to 16 KiB; hashing more costs more than cache locality saves. */
private const val MAX_BLOCKS = 64

/** Digests of the prefixes of [prompt] with 256, 512, ... bytes, shortest first. */
internal fun prefixDigests(prompt: String): LongArray {
    val bytes = prompt.toByteArray()
    val blocks = minOf(bytes.size / BLOCK_BYTES, MAX_BLOCKS)
    val digest = MessageDigest.getInstance("SHA-256")
    return LongArray(blocks) { block ->
        digest.update(bytes, block * BLOCK_BYTES, BLOCK_BYTES)
        val prefix = digest.clone() as MessageDigest
        ByteBuffer.wrap(prefix.digest()).getLong()
    }
}
