/*
 * Transitions of the session state. Each event changes the sessions; then lost sessions are noted and the route table
 * is computed again and sent to the entries if it differs.
 */
package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Revision

/** Incarnations remembered as replaced; far more than restart while an older process can still send. */
private const val REPLACED_KEPT = 1_000

/** One crash shows several times: as an unhealthy server, as a new run of it, and as a new session. */
private const val ONE_FAILURE_MS = 15_000L

/** Failures remembered for each instance; flap damping looks at the last three. */
private const val FAILURES_KEPT = 8

/** Applies [event] at [nowMs] (monotonic ms). */
fun SessionState.handle(event: SessionEvent, nowMs: Long): SessionStep = apply(event, nowMs)
    .then { loseSilent(nowMs) }
    .then { noteProgress(nowMs).step() }
    .then { publishRoutes(nowMs) }

internal fun SessionStep.then(rule: SessionState.() -> SessionStep): SessionStep {
    val next = state.rule()
    return SessionStep(next.state, effects + next.effects)
}

internal fun SessionState.step(vararg effects: SessionEffect): SessionStep = SessionStep(this, effects.toList())

private fun SessionState.apply(event: SessionEvent, nowMs: Long): SessionStep = when (event) {
    is SessionEvent.BecameLeader -> SessionState(
        timing = timing,
        term = event.term,
        leaderSinceMs = nowMs,
        configuration = event.configuration,
        assignments = event.assignments,
        changes = persistentListOf(AcceptedChange(event.configuration.revision, acceptedAtMs = null)),
    ).step()

    is SessionEvent.Committed -> commit(event, nowMs)
    is SessionEvent.Hello -> open(event, nowMs)
    is SessionEvent.Heartbeat -> heartbeat(event, nowMs)
    is SessionEvent.StreamClosed -> close(event.stream).step()
    SessionEvent.Tick -> step()
}

private fun SessionState.commit(event: SessionEvent.Committed, nowMs: Long): SessionStep {
    val kept = event.assignments.map { it.replica }.toSet()
    val gone = assignments.filter { it.replica !in kept }.map { Withdrawal(it, nowMs) }
    val next = copy(assignments = event.assignments, withdrawals = withdrawals.addAll(gone))
    if (event.configuration.revision <= configuration.revision) return next.step()
    return next.accept(event.configuration, nowMs)
}

private fun SessionState.accept(changed: Configuration, nowMs: Long): SessionStep {
    val next = copy(
        configuration = changed,
        changes = trimmedChanges(nowMs).add(AcceptedChange(changed.revision, nowMs)),
    )
    val effects = sessions.values.mapNotNull { session ->
        session.stream?.let { SessionEffect.SendConfiguration(it, changed) }
    }
    return SessionStep(next, effects)
}

/** Keeps the newest change that is due for acknowledgement and all later ones. */
private fun SessionState.trimmedChanges(nowMs: Long) =
    changes.filter { it.revision >= requiredRevision(nowMs) }.toPersistentList()

/** Revision that a process must have acknowledged to get its lease renewed. */
internal fun SessionState.requiredRevision(nowMs: Long): Revision = changes
    .filter { it.acceptedAtMs == null || it.acceptedAtMs < nowMs - timing.acknowledgeMs }
    .maxOfOrNull { it.revision } ?: Revision.NONE

private fun SessionState.open(event: SessionEvent.Hello, nowMs: Long): SessionStep {
    val hello = event.announcement
    if (hello.incarnation in replaced) return step(SessionEffect.CloseStream(event.stream, "replaced by a later run"))
    val older = sessions.values.filter { it.isReplacedBy(hello) }
    val same = sessions[hello.instance]?.takeIf { it.announcement.incarnation == hello.incarnation }
    val session = same?.reopened(event, nowMs) ?: Session(hello, event.stream, event.revision, nowMs)
    val closed = (older + listOfNotNull(same)).mapNotNull { it.stream }.filter { it != event.stream }
    val next = older.fold(this) { state, gone -> state.replace(gone, nowMs) }
    val effects = closed.map { SessionEffect.CloseStream(it, "replaced by a later stream") } +
        listOfNotNull(
            SessionEffect.SendConfiguration(event.stream, configuration).takeIf {
                event.revision < configuration.revision
            },
            SessionEffect.SendRoutes(event.stream, routes).takeIf {
                hello.role == ProcessRole.ENTRY && routes.term == term
            },
        )
    return SessionStep(next.copy(sessions = next.sessions.put(hello.instance, session)), effects)
}

private fun Session.reopened(event: SessionEvent.Hello, nowMs: Long) = copy(
    stream = event.stream,
    heardAtMs = nowMs,
    revision = event.revision,
    upSinceMs = if (lost) nowMs else upSinceMs,
    lost = false,
    crashed = false,
)

/** One run for each instance, and one for each address, since a server that restarts can have another name. */
private fun Session.isReplacedBy(hello: Announcement): Boolean = announcement.incarnation != hello.incarnation &&
    (announcement.instance == hello.instance || announcement.address == hello.address)

private fun SessionState.replace(older: Session, nowMs: Long): SessionState {
    val instance = older.announcement.instance
    val known = replaced.toList().takeLast(REPLACED_KEPT) + older.announcement.incarnation
    val planned = older.lost || older.report?.leaving == true
    val noted = if (planned) this else noteFailure(instance, nowMs)
    return noted.copy(sessions = sessions.remove(instance), replaced = known.toPersistentSet())
}

private fun SessionState.noteFailure(instance: InstanceName, nowMs: Long): SessionState {
    val known = failures[instance].orEmpty()
    if (known.isNotEmpty() && nowMs - known.last() < ONE_FAILURE_MS) return this
    val times = (known + nowMs).takeLast(FAILURES_KEPT).toPersistentList()
    return copy(failures = failures.put(instance, times))
}

private fun SessionState.heartbeat(event: SessionEvent.Heartbeat, nowMs: Long): SessionStep {
    val session = sessions.values.firstOrNull { it.stream == event.stream } ?: return step()
    val report = event.report
    val instance = session.announcement.instance
    val leased = report.revision >= requiredRevision(nowMs)
    val heard = session.heard(report, nowMs)
        .copy(leaseUntilMs = if (leased) nowMs + timing.leaseEndMs else session.leaseUntilMs)
    val failed = !heard.bootConfirmed || session.report.wentDown(report)
    val noted = if (failed) noteFailure(instance, nowMs) else this
    val wanted = wantedOn(instance, nowMs)
    val offer = wanted.maxOfOrNull { it.fencingNumber }?.let { Offer(it, nowMs) } ?: session.offer
    val offered = heard.copy(offer = offer)
    val shares = noted.copy(sessions = sessions.put(instance, offered)).shareOut(heard, leased, nowMs)
    val answer = SessionEffect.Answer(
        event.stream,
        report.sequence,
        term,
        if (leased) timing.leaseMs else 0,
        shares.shares,
        wanted,
    )
    return shares.state.step(answer)
}

private fun Session.heard(report: HeartbeatReport, nowMs: Long): Session {
    val sameRun = this.report == null || this.report.bootId == report.bootId
    val sameHealth = this.report == null || this.report.backendHealthy == report.backendHealthy
    return copy(
        revision = maxOf(revision, report.revision),
        heardAtMs = nowMs,
        report = report,
        bootConfirmed = sameRun,
        upSinceMs = if (sameRun && sameHealth) upSinceMs else nowMs,
        lost = false,
    )
}

private fun HeartbeatReport?.wentDown(next: HeartbeatReport) = this?.backendHealthy == true && !next.backendHealthy

private fun SessionState.wantedOn(instance: InstanceName, nowMs: Long): List<Assignment> {
    val withdrawing = withdrawals.filter { nowMs < it.sinceMs + timing.withdrawalMs }.map { it.assignment }
    return (assignments + withdrawing).filter { assignment -> assignment.members.any { it.instance == instance } }
}

private fun SessionState.close(stream: Long): SessionState {
    val session = sessions.values.firstOrNull { it.stream == stream } ?: return this
    return copy(sessions = sessions.put(session.announcement.instance, session.copy(stream = null)))
}

private fun SessionState.loseSilent(nowMs: Long): SessionStep {
    val silent = sessions.values.filter { !it.lost && nowMs >= it.heardAtMs + timing.sessionTimeoutMs }
    val lost = silent.fold(this) { state, session ->
        val instance = session.announcement.instance
        val noted = if (session.report?.leaving == true) state else state.noteFailure(instance, nowMs)
        noted.copy(sessions = noted.sessions.put(instance, session.toLost()))
    }
    val effects = silent.mapNotNull { it.stream }.map { SessionEffect.CloseStream(it, "session timeout") }
    return SessionStep(lost.forget(nowMs), effects)
}

private fun Session.toLost() = copy(stream = null, lost = true, crashed = stream == null)

private fun SessionState.forget(nowMs: Long): SessionState {
    val kept = sessions.filterValues { !it.lost || nowMs < it.heardAtMs + timing.forgetMs }
    val withdrawing = withdrawals.filter { nowMs < it.sinceMs + timing.withdrawalMs || isHeld(it.assignment) }
    if (kept.size == sessions.size && withdrawing.size == withdrawals.size) return this
    return copy(sessions = kept.toPersistentMap(), withdrawals = withdrawing.toPersistentList())
}
