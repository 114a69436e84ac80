/*
 * Decides what a backend server's response means for its request. Once a response to the caller has started, only a
 * stream that continues it may add to it.
 */
package org.bramleyspur.traffic.forward

/**
 * Head of a final response of a backend server.
 *
 * @property notExecuted whether it states that the request was not run
 * @property sealed whether it carries the backend server's seal
 * @property eventStream whether its body can be a stream of events
 */
data class ResponseHead(
    val status: Int,
    val notExecuted: Boolean,
    val sealed: Boolean,
    val eventStream: Boolean = true,
)

/** What is done with a response. */
enum class ResponseUse {
    /** The request was not run. */
    REJECTION,

    /** The response is not a backend server's. */
    INVALID,

    /** The backend server ran the request and failed. */
    FAILURE,

    /** The response belongs to the request but does not continue what the caller has received. */
    NO_CONTINUATION,

    /** Its events are forwarded one by one. */
    EVENTS,

    /** It is forwarded as it arrives. */
    WHOLE,
}

/** Returns the use of a response with [head] to a [streaming] request; [responseStarted] if the caller has a part. */
fun useOf(head: ResponseHead, streaming: Boolean, responseStarted: Boolean): ResponseUse = when {
    head.notExecuted || head.status == STATUS_MISDIRECTED -> ResponseUse.REJECTION
    !head.sealed -> ResponseUse.INVALID
    head.status >= FIRST_SERVER_ERROR -> ResponseUse.FAILURE
    responseStarted && (head.status != STATUS_OK || !head.eventStream) -> ResponseUse.NO_CONTINUATION
    streaming && head.status in SUCCESS_STATUSES -> ResponseUse.EVENTS
    else -> ResponseUse.WHOLE
}

/** What is done with an event of a stream. */
enum class EventUse { FORWARD, SKIP, INVALID }

/** Returns the use of [event] after [lastId]; an event of a stream that [continues] another must show its place. */
fun useOf(event: StreamEvent, lastId: Long?, continues: Boolean): EventUse = when (val id = event.id) {
    null -> if (continues && !event.isComment) EventUse.INVALID else EventUse.FORWARD
    else -> if (lastId != null && id <= lastId) EventUse.SKIP else EventUse.FORWARD
}

/**
 * Returns whether the end of a stream completes the response: one that continues another must have added an event, or
 * have repeated the last one. Without either, a server that dropped the rest of the stream looks the same as one that
 * had nothing left to send.
 */
fun completesResponse(continues: Boolean, addedEvents: Boolean, repeatedLast: Boolean): Boolean =
    !continues || addedEvents || repeatedLast

private const val STATUS_OK = 200
private const val FIRST_SERVER_ERROR = 500
private const val STATUS_MISDIRECTED = 421
private val SUCCESS_STATUSES = 200..299
