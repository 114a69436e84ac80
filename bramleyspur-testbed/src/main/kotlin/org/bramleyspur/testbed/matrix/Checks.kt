/*
 * The guarantees checked after each fault case, from the callers' attempts and the run counts of the backend servers.
 */
package org.bramleyspur.testbed.matrix

/** Returns the violations in the attempts of one fault case. */
internal fun checkResponses(attempts: List<CallAttempt>, allowedImpact: AllowedImpact): List<String> = buildList {
    attempts.filter { it.wrongText }.forEach { add("wrong text delivered: ${it.describe()}") }
    attempts.filter { it.outcome == CallOutcome.WRONG }.forEach { add("wrong answer: ${it.describe()}") }
    if (!allowedImpact.brokenConnections) {
        attempts
            .filter { it.outcome == CallOutcome.BROKEN }
            .forEach { add("connection lost without an answer or a refusal: ${it.describe()}") }
    }
    attempts.filter { it.longestTokenGapNanos > allowedImpact.maxTokenGapMs * NANOS_PER_MS }.forEach {
        add("no token for ${it.longestTokenGapNanos / NANOS_PER_MS} ms: ${it.describe()}")
    }
    if (!allowedImpact.refusals) {
        val refusals = setOf(CallOutcome.NOT_RUN, CallOutcome.MAY_HAVE_RUN, CallOutcome.RAN_AND_FAILED)
        attempts.filter { it.outcome in refusals && !it.inProgress }.forEach { add("refused: ${it.describe()}") }
    }
    if (!allowedImpact.interruptedStreams) {
        attempts
            .filter { it.outcome == CallOutcome.ERROR_EVENT }
            .forEach { add("stream interrupted: ${it.describe()}") }
    }
}

/** Returns the violations in the run counts of the plain backend servers, given all attempts of the deployment. */
internal fun checkPlainRuns(attempts: List<CallAttempt>, runs: RunCounts): List<String> = buildList {
    runs.byKey.filterValues { it > 1 }.forEach { (key, count) -> add("$key ran $count times") }
    runs.byRequest.filterValues { it > 1 }.forEach { (id, count) -> add("plain request $id ran $count times") }
    for ((key, keyAttempts) in attempts.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }) {
        val notRun = keyAttempts.all { it.outcome == CallOutcome.NOT_RUN || it.outcome == CallOutcome.NOT_SENT }
        val count = runs.byKey[key] ?: 0
        if (notRun && count > 0) add("$key was answered not_run and ran $count times")
        val completed = keyAttempts.filter { it.outcome == CallOutcome.COMPLETE }
        if (completed.map { it.detail }.toSet().size > 1) {
            add("$key has different answers: ${completed.map { it.detail }}")
        }
    }
}

/**
 * Returns the violations in the run counts of the engines. Refusals contain no request id, so the number of runs with
 * an unknown id is compared with the number of attempts that may have run and returned no id.
 */
internal fun checkEngineRuns(attempts: List<CallAttempt>, runs: RunCounts): List<String> {
    val streams = attempts.filter { it.stream }
    val unknownRuns = (runs.byRequest.keys - streams.mapNotNull { it.requestId }.toSet()).size
    val possibleRuns =
        streams.count {
            it.requestId == null && it.outcome != CallOutcome.NOT_RUN &&
                it.outcome != CallOutcome.NOT_SENT
        }
    if (unknownRuns <= possibleRuns) return emptyList()
    return listOf(
        "engines ran $unknownRuns requests with unknown ids; only $possibleRuns attempts without an id may have run",
    )
}

/**
 * Returns the failed request that began last after [faultNanos], or null. All attempts with one idempotency key have
 * the start time of the first one, since later ones only request its outcome.
 */
internal fun lastFailure(attempts: List<CallAttempt>, faultNanos: Long): CallAttempt? {
    val firstAttemptNanos = attempts.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }
        .mapValues { (_, keyAttempts) -> keyAttempts.minOf { it.startNanos } }
    return attempts.filter { it.failed }
        .map { it.copy(startNanos = firstAttemptNanos[it.idempotencyKey] ?: it.startNanos) }
        .filter { it.startNanos >= faultNanos }
        .maxByOrNull { it.startNanos }
}

/** Whether the attempt counts as a failure for callers; refused connections are handled by the load balancer. */
internal val CallAttempt.failed: Boolean
    get() = outcome != CallOutcome.COMPLETE && outcome != CallOutcome.NOT_SENT && !inProgress

internal const val NANOS_PER_MS = 1_000_000L
