/*
 * What callers saw. Every try of every call of a row is kept, and the checks judge them after the row.
 */
package org.bramleyspur.testbed.matrix

/** How one try ended, as its caller saw it. */
internal enum class Ending {
    /** Answered in full. */
    COMPLETE,

    /** Refused as not run. */
    NOT_RUN,

    /** Refused without knowledge of a run. */
    MAY_HAVE_RUN,

    /** Refused as run and failed. */
    RAN_AND_FAILED,

    /** The entry refused the connection, so that nothing was sent. */
    NOT_SENT,

    /** The connection ended, or nothing came for too long. */
    BROKEN,

    /** The stream ended in an explicit error event. */
    ERROR_EVENT,

    /** The answer ended as if it were complete, but it is not the right one. */
    WRONG,
}

/**
 * One try of a call; times are by [System.nanoTime].
 *
 * @property id request id that the entry told; null when it told none
 * @property key idempotency key; null for streams
 * @property firstNanos time of the first token; 0 when there was none
 * @property longestGapNanos longest time between two tokens, or between the start and the first one
 * @property wrongText whether a delivered text is no prefix of the right one
 */
internal data class Answer(
    val entry: Int,
    val stream: Boolean,
    val startNanos: Long,
    val endNanos: Long,
    val ending: Ending,
    val detail: String,
    val id: String? = null,
    val key: String? = null,
    val firstNanos: Long = 0,
    val longestGapNanos: Long = 0,
    val wrongText: Boolean = false,
) {
    /** Short text for the report. */
    fun describe(): String = "${if (stream) "stream" else "call"} at entry $entry: $ending ($detail)"
}

/** All tries so far. */
internal class AnswerLog {
    private val answers = ArrayList<Answer>()

    @Synchronized
    fun add(answer: Answer) {
        answers += answer
    }

    @Synchronized
    fun all(): List<Answer> = ArrayList(answers)

    /** The tries that began at [nanos] or later. */
    fun since(nanos: Long): List<Answer> = all().filter { it.startNanos >= nanos }
}
