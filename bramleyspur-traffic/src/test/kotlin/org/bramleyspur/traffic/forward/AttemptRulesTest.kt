package org.bramleyspur.traffic.forward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against a second run of a request that may run only once, against a refusal as not run of one that may have
 * run, and against a response that looks complete after a part of it was lost.
 */
class AttemptRulesTest {
    private class Case(
        val name: String,
        val progress: RequestProgress,
        val end: AttemptEnd,
        val budgetLeft: Boolean,
        val expected: NextStep,
    )

    private val stream = RequestProgress(
        idempotent = true,
        resumable = true,
        maxAttempts = 2,
        sentAttempts = 1,
        unsentAttempts = 0,
        mayHaveRun = false,
        responseStarted = false,
        remainingMs = 5_000,
    )

    /** A request that may run only once. */
    private val once = stream.copy(idempotent = false, resumable = false)

    /** An idempotent request whose response cannot be resumed. */
    private val plain = stream.copy(resumable = false)
    private val rejected = AttemptEnd.Rejected(null)

    private val cases = listOf(
        Case("once, no response", once, AttemptEnd.NoAnswer, true, NextStep.FailUnknown),
        Case("once, rejected", once, rejected, true, NextStep.SendAgain(countsAgainstBudget = true)),
        Case("once, rejected, no budget", once, rejected, false, NextStep.RefuseNotRun),
        Case("once, rejected, one attempt", once.copy(maxAttempts = 1), rejected, true, NextStep.RefuseNotRun),
        Case("once, failed", once, AttemptEnd.Failed, true, NextStep.PassFailure),
        Case("plain, no response", plain, AttemptEnd.NoAnswer, true, NextStep.SendAgain(countsAgainstBudget = true)),
        Case("plain, broken off", plain.copy(responseStarted = true), AttemptEnd.BrokenOff, true, NextStep.BreakOff),
        Case("once, broken off", once.copy(responseStarted = true), AttemptEnd.BrokenOff, true, NextStep.BreakOff),
        Case(
            "once, not sent",
            once.copy(sentAttempts = 0, unsentAttempts = 1),
            AttemptEnd.NotSent,
            false,
            NextStep.SendAgain(false),
        ),
        Case(
            "once, never sent",
            once.copy(sentAttempts = 0, unsentAttempts = 4),
            AttemptEnd.NotSent,
            true,
            NextStep.RefuseNotRun,
        ),
        Case("once, no candidate", once.copy(sentAttempts = 0), AttemptEnd.NoCandidate, true, NextStep.RefuseNotRun),
        Case("stream, no response", stream, AttemptEnd.NoAnswer, true, NextStep.SendAgain(countsAgainstBudget = true)),
        Case("stream, no response, no budget", stream, AttemptEnd.NoAnswer, false, NextStep.FailUnknown),
        Case(
            "stream, no response twice",
            stream.copy(sentAttempts = 2),
            AttemptEnd.NoAnswer,
            true,
            NextStep.FailUnknown,
        ),
        Case("stream, failed", stream, AttemptEnd.Failed, true, NextStep.SendAgain(countsAgainstBudget = true)),
        Case("stream, failed twice", stream.copy(sentAttempts = 2), AttemptEnd.Failed, true, NextStep.PassFailure),
        Case(
            "stream, resumed",
            stream.copy(responseStarted = true),
            AttemptEnd.BrokenOff,
            true,
            NextStep.SendAgain(true),
        ),
        Case(
            "stream, broken off twice",
            stream.copy(sentAttempts = 2, responseStarted = true, mayHaveRun = true),
            AttemptEnd.BrokenOff,
            true,
            NextStep.BreakOff,
        ),
        Case(
            "rejected after a run",
            stream.copy(sentAttempts = 2, mayHaveRun = true),
            rejected,
            true,
            NextStep.FailUnknown,
        ),
        Case(
            "no candidate after a run",
            stream.copy(mayHaveRun = true),
            AttemptEnd.NoCandidate,
            true,
            NextStep.FailUnknown,
        ),
        Case(
            "no candidate after a part of the response",
            stream.copy(mayHaveRun = true, responseStarted = true),
            AttemptEnd.NoCandidate,
            true,
            NextStep.BreakOff,
        ),
        Case("no time left", stream.copy(remainingMs = 5), rejected, true, NextStep.RefuseNotRun),
        Case(
            "no time left after an attempt",
            stream.copy(remainingMs = 5),
            AttemptEnd.NoAnswer,
            true,
            NextStep.FailUnknown,
        ),
        Case(
            "retry not sent",
            stream.copy(unsentAttempts = 1),
            AttemptEnd.NotSent,
            true,
            NextStep.SendAgain(countsAgainstBudget = true),
        ),
    )

    @TestFactory
    fun `next step`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            expectThat(nextStep(case.progress, case.end, case.budgetLeft)).isEqualTo(case.expected)
        }
    }
}
