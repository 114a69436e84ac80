package org.bramleyspur.traffic.quarantine

/** One life of an engine, which may keep its id when it restarts at [startedAtMs] (Unix time in milliseconds). */
data class EngineLife(val id: String, val startedAtMs: Long)

/** What an entry observed about a prompt part that several requests share. */
sealed interface PartObservation {
    /** Id of the part. */
    val part: String

    /** The engine ended its connection while it was to begin the response to a request with the part. */
    data class EngineEnded(override val part: String, val engine: EngineLife) : PartObservation

    /** An engine went on after the beginning of its response to a request with the part. */
    data class Survived(override val part: String) : PartObservation
}

/**
 * Returns the ids of the parts that the request shares with others: all but the last, which belongs to it alone.
 * [header] lists `ID:TOKENS` entries, separated by commas; it may be absent.
 */
fun sharedParts(header: String?): List<String> = header.orEmpty()
    .split(',')
    .dropLast(1)
    .map { it.substringBefore(':').trim() }
    .filter { it.isNotEmpty() }
    .distinct()
    .take(MAX_PARTS_PER_REQUEST)

private const val MAX_PARTS_PER_REQUEST = 64
