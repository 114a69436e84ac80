/*
 * The outcomes that a caller can be told. The three refusals differ in what is proved about the run, which decides
 * whether the caller can safely send the request again.
 */
package org.bramleyspur.core.model

/**
 * What a caller is told when its request has no whole answer.
 *
 * @property wire value of the `Bramleyspur-Outcome` header and of `refusal.kind` in the error object
 */
enum class Refusal(val wire: String) {
    /** Proved not to have run on any backend server; sending it again is safe. */
    NOT_RUN("not_run"),

    /** The request may have run, wholly or in part. */
    MAY_HAVE_RUN("may_have_run"),

    /** The backend server ran the request and reported a failure. */
    RAN_AND_FAILED("ran_and_failed"),
}
