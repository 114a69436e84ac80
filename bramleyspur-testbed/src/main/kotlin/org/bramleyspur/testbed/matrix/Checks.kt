/*
 * The promises that are checked after each row, from what callers saw and what the stand-ins counted.
 */
package org.bramleyspur.testbed.matrix

/** Broken promises among the tries of one row. */
internal fun checkAnswers(answers: List<Answer>, allowed: Allowance): List<String> = buildList {
    answers.filter { it.wrongText }.forEach { add("wrong text delivered: ${it.describe()}") }
    answers.filter { it.ending == Ending.WRONG }.forEach { add("wrong answer: ${it.describe()}") }
    if (!allowed.brokenConnections) {
        answers.filter { it.ending == Ending.BROKEN }.forEach { add("no answer and no refusal: ${it.describe()}") }
    }
    answers.filter { it.longestGapNanos > allowed.stallMs * NANOS_PER_MS }.forEach {
        add("no token for ${it.longestGapNanos / NANOS_PER_MS} ms: ${it.describe()}")
    }
    if (!allowed.refusals) {
        val refusals = setOf(Ending.NOT_RUN, Ending.MAY_HAVE_RUN, Ending.RAN_AND_FAILED)
        answers.filter { it.ending in refusals && !it.inProgress }.forEach { add("refused: ${it.describe()}") }
    }
    if (!allowed.cutStreams) {
        answers.filter { it.ending == Ending.ERROR_EVENT }.forEach { add("stream cut: ${it.describe()}") }
    }
}

/** Broken promises in the counts of the plain backend servers, against all tries of the deployment. */
internal fun checkPlainRuns(answers: List<Answer>, runs: Runs): List<String> = buildList {
    runs.byKey.filterValues { it > 1 }.forEach { (key, count) -> add("$key ran $count times") }
    runs.byRequest.filterValues { it > 1 }.forEach { (id, count) -> add("plain request $id ran $count times") }
    for ((key, tries) in answers.filter { it.key != null }.groupBy { it.key }) {
        val notRun = tries.all { it.ending == Ending.NOT_RUN || it.ending == Ending.NOT_SENT }
        val count = runs.byKey[key] ?: 0
        if (notRun && count > 0) add("$key was answered not_run and ran $count times")
        val complete = tries.filter { it.ending == Ending.COMPLETE }
        if (complete.map { it.detail }.toSet().size >
            1
        ) {
            add("$key has different answers: ${complete.map { it.detail }}")
        }
    }
}

/**
 * Broken promises in the counts of the engines. A refusal names no request id, so the runs that no told id explains are
 * compared with the tries that may have run without telling one.
 */
internal fun checkEngineRuns(answers: List<Answer>, runs: Runs): List<String> {
    val streams = answers.filter { it.stream }
    val unexplained = (runs.byRequest.keys - streams.mapNotNull { it.id }.toSet()).size
    val possible =
        streams.count { it.id == null && it.ending != Ending.NOT_RUN && it.ending != Ending.NOT_SENT }
    if (unexplained <= possible) return emptyList()
    return listOf("engines ran $unexplained requests without an answer; only $possible were not answered not_run")
}

/**
 * The failed request that began last after [faultNanos], or null. The tries of a call under one key count from the
 * first of them, since later ones only ask for its outcome.
 */
internal fun lastFailure(answers: List<Answer>, faultNanos: Long): Answer? {
    val firstTries = answers.filter { it.key != null }.groupBy { it.key }
        .mapValues { (_, tries) -> tries.minOf { it.startNanos } }
    return answers.filter { it.failed }
        .map { it.copy(startNanos = firstTries[it.key] ?: it.startNanos) }
        .filter { it.startNanos >= faultNanos }
        .maxByOrNull { it.startNanos }
}

/** Whether callers count the try as a failure; a refused connection is left to the load balancer. */
internal val Answer.failed: Boolean
    get() = ending != Ending.COMPLETE && ending != Ending.NOT_SENT && !inProgress

internal const val NANOS_PER_MS = 1_000_000L
