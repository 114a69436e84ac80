package org.bramleyspur.log

/**
 * Splits [items] in order into the longest lists whose sizes add up to at most [maxBytes]. An item that is larger forms
 * a list by itself.
 */
internal fun <A> chunkedByBytes(items: List<A>, maxBytes: Int, sizeOf: (A) -> Int): List<List<A>> {
    val chunks = ArrayList<List<A>>()
    var chunk = ArrayList<A>()
    var bytes = 0L
    for (item in items) {
        val size = sizeOf(item)
        if (chunk.isNotEmpty() && bytes + size > maxBytes) {
            chunks += chunk
            chunk = ArrayList()
            bytes = 0
        }
        chunk += item
        bytes += size
    }
    if (chunk.isNotEmpty()) chunks += chunk
    return chunks
}
