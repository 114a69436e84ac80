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
        otherAttempts = OtherAttempts.NONE,
        maxAttempts = 2,
        sentAttempts = 1,
        unsentAttempts = 0,
        supersededServers = 0,
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

    private val silent = stream.copy(otherAttempts = OtherAttempts.SILENT)
    private val responding = stream.copy(otherAttempts = OtherAttempts.RESPONDING)
    private val last = silent.copy(sentAttempts = 2)
    private val everyEnd = listOf(
        AttemptEnd.NotSent,
        rejected,
        AttemptEnd.NoAnswer,
        AttemptEnd.Failed,
        AttemptEnd.BrokenOff,
        AttemptEnd.PartBlocked(null),
        AttemptEnd.NoCandidate,
    )

    /** Guards against a request that is ended or sent once more while another of its attempts may still be answered. */
    @TestFactory
    fun `no request ends while another attempt is running`() = everyEnd.flatMap { end ->
        listOf(last.copy(unsentAttempts = 4), responding, responding.copy(responseStarted = true, mayHaveRun = true))
            .flatMap { progress -> listOf(true, false).map { Triple(end, progress, it) } }
    }.map { (end, progress, budgetLeft) ->
        DynamicTest.dynamicTest("$end, $progress, $budgetLeft") {
            expectThat(nextStep(progress, end, budgetLeft)).isEqualTo(NextStep.AwaitRunning)
        }
    }

    @TestFactory
    fun `beside a silent attempt the next server is tried`() =
        listOf(AttemptEnd.NotSent, rejected, AttemptEnd.NoAnswer, AttemptEnd.Failed, AttemptEnd.BrokenOff).map { end ->
            DynamicTest.dynamicTest("$end") {
                expectThat(nextStep(silent, end, budgetLeft = true)).isEqualTo(NextStep.SendAgain(true))
            }
        }

    /** Guards against a second run of a request that may run once, and of one whose response cannot be continued. */
    @TestFactory
    fun `another attempt beside silent ones`() = listOf(
        Triple("stream", silent, true),
        Triple("stream that has started", silent.copy(responseStarted = true), true),
        Triple("plain", silent.copy(resumable = false), true),
        Triple("plain that has started", silent.copy(resumable = false, responseStarted = true), false),
        Triple("once", once.copy(otherAttempts = OtherAttempts.SILENT), false),
        Triple("one of them may respond", responding, false),
        Triple("none is running", stream, false),
        Triple("attempts used up", last, false),
        Triple("four not sent", silent.copy(unsentAttempts = 4), false),
        Triple("no time left", silent.copy(remainingMs = 5), false),
    ).map { (name, progress, expected) ->
        DynamicTest.dynamicTest(name) {
            expectThat(maySendBesideSilent(progress, budgetLeft = true)).isEqualTo(expected)
            expectThat(maySendBesideSilent(progress, budgetLeft = false)).isEqualTo(false)
        }
    }

    /** Guards against a stream that ends although a server that was only silent could go on with it. */
    @TestFactory
    fun `a superseded server is asked for the rest of a stream`(): List<DynamicTest> {
        val askAgain = NextStep.SendAgain(countsAgainstBudget = true, toSuperseded = true)
        val broken = stream.copy(sentAttempts = 2, supersededServers = 1, responseStarted = true, mayHaveRun = true)
        return listOf(
            Case("broken off", broken, AttemptEnd.BrokenOff, true, askAgain),
            Case("no other server", broken.copy(sentAttempts = 1), AttemptEnd.NoCandidate, true, askAgain),
            Case("another server is left", broken.copy(sentAttempts = 1), rejected, true, NextStep.SendAgain(true)),
            Case("no budget", broken, AttemptEnd.BrokenOff, false, NextStep.BreakOff),
            Case("no time", broken.copy(remainingMs = 5), AttemptEnd.BrokenOff, true, NextStep.BreakOff),
            Case("not resumable", broken.copy(resumable = false), AttemptEnd.BrokenOff, true, NextStep.BreakOff),
            Case("blocked part", broken, AttemptEnd.PartBlocked(null), true, NextStep.BreakOff),
            Case(
                "another attempt is running",
                broken.copy(otherAttempts = OtherAttempts.SILENT),
                AttemptEnd.BrokenOff,
                true,
                NextStep.AwaitRunning,
            ),
        ).map { expectStep(it) }
    }

    private fun expectStep(case: Case) = DynamicTest.dynamicTest(case.name) {
        expectThat(nextStep(case.progress, case.end, case.budgetLeft)).isEqualTo(case.expected)
    }

    @TestFactory
    fun `next step`() = cases.map { expectStep(it) }
}
