package org.bramleyspur.traffic.pressure

/**
 * A request on which is decided.
 *
 * @property account client account; empty for a request without one
 * @property sizeClass class of its size, see [sizeClass]
 * @property targetMs expected time in milliseconds from its receipt to the first event
 * @property priority 0 is the most urgent
 * @property waitedMs time in milliseconds since its receipt
 * @property remainingMs time in milliseconds until its deadline
 */
data class PressureRequest(
    val route: String,
    val account: String,
    val sizeClass: Int,
    val targetMs: Long,
    val priority: Int,
    val waitedMs: Long,
    val remainingMs: Long,
)

/**
 * What is predicted for a request at the backend server that suits it best.
 *
 * @property expectedMs time in milliseconds to its first event
 * @property waitMs the part of [expectedMs] that does not depend on the length of its own prompt
 * @property complete whether it counts the requests of the other entries
 */
data class Prediction(val expectedMs: Double, val waitMs: Double, val complete: Boolean = false) {
    /** Time in milliseconds that the prompt of the request takes. */
    val promptMs: Double get() = expectedMs - waitMs
}

/** What is done with a request. */
sealed interface PressureDecision {
    /** The request is sent; [floor] when it only is because its like were served much less often than others. */
    data class Start(val floor: Boolean = false) : PressureDecision

    /** The request stays at the entry, and is decided on again after [delayMs]. */
    data class Wait(val delayMs: Long) : PressureDecision

    /** The request is refused, and may return after [retryAfterMs]. */
    data class Refuse(val reason: PressureReason, val retryAfterMs: Long) : PressureDecision
}

/** Why a request is refused. */
enum class PressureReason {
    /** No first event is possible before the deadline. */
    HOPELESS,

    /** It would be late, and requests compete that can be in time. */
    LATE,

    /** More urgent requests or other accounts come first. */
    SHARE,

    /** No backend server takes it. */
    NO_SERVER,
}

/** Class of the size of a request: the number of binary digits of its tokens. */
fun sizeClass(promptTokens: Long, outputTokens: Long): Int =
    Long.SIZE_BITS - (promptTokens + OUTPUT_TOKEN_COST * outputTokens).countLeadingZeroBits()

/** Decoding a token takes about ten times as long as reading one of the prompt. */
private const val OUTPUT_TOKEN_COST = 10L
