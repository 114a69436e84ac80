/*
 * Outcomes of failed requests as reported to callers. They state what is known about the execution of the request, and
 * thereby whether the caller can safely retry it.
 */
package org.bramleyspur.core.model

/**
 * Outcome reported to a caller whose request got no complete response.
 *
 * @property wireName value of the `Bramleyspur-Outcome` header and of `refusal.kind` in the error object
 */
enum class Refusal(val wireName: String) {
    /** The request certainly did not run on any backend server; a retry is safe. */
    NOT_RUN("not_run"),

    /** The request may have run, completely or in part. */
    MAY_HAVE_RUN("may_have_run"),

    /** The backend server ran the request and reported a failure. */
    RAN_AND_FAILED("ran_and_failed"),
}
