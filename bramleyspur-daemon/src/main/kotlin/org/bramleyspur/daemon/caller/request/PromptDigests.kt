package org.bramleyspur.daemon.caller.request

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Bytes of a prompt between two prefix digests, as the engines' cache events count them. */
private const val BLOCK_BYTES = 256

/** Longest prefix that routing looks at is 16 KiB; hashing more costs more than the locality saves. */
private const val MAX_BLOCKS = 64

/** Digests of the prompt's prefixes of 256, 512, ... bytes, by rising length. */
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
