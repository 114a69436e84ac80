/*
 * Transitions of the session state. Each event updates the sessions; then unresponsive sessions expire, and the route
 * table is recomputed and sent to the entries if it has changed.
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

/** Far more than the number of processes that restart while their predecessors can still send messages. */
private const val MAX_REPLACED_INCARNATIONS = 1_000

/** One crash is observed several times: as an unhealthy backend server, as its new boot id, and as a new session. */
private const val FAILURE_MERGE_WINDOW_MS = 15_000L

/** Failures recorded for each instance; flap damping counts the last three. */
private const val MAX_RECORDED_FAILURES = 8

/** Applies [event] at [nowMs] (monotonic ms). */
fun SessionState.handle(event: SessionEvent, nowMs: Long): SessionStep = apply(event, nowMs)
    .then { expireUnresponsiveSessions(nowMs) }
    .then { updateProgress(nowMs).step() }
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
        earlierShares = event.configuration.revision != Revision.NONE,
    ).step()

    is SessionEvent.Committed -> handleCommit(event, nowMs)
    is SessionEvent.Hello -> handleHello(event, nowMs)
    is SessionEvent.Heartbeat -> handleHeartbeat(event, nowMs)
    is SessionEvent.StreamClosed -> handleStreamClosed(event.stream).step()
    SessionEvent.Tick -> step()
}

private fun SessionState.handleCommit(event: SessionEvent.Committed, nowMs: Long): SessionStep {
    val remaining = event.assignments.map { it.replica }.toSet()
    val removed = assignments.filter { it.replica !in remaining }.map { Withdrawal(it, nowMs) }
    val next = copy(assignments = event.assignments, withdrawals = withdrawals.addAll(removed))
    if (event.configuration.revision <= configuration.revision) return next.step()
    return next.acceptConfiguration(event.configuration, nowMs)
}

private fun SessionState.acceptConfiguration(changed: Configuration, nowMs: Long): SessionStep {
    val next = copy(
        configuration = changed,
        changes = changesToKeep(nowMs).add(AcceptedChange(changed.revision, nowMs)),
    )
    val effects = sessions.values.mapNotNull { session ->
        session.stream?.let { SessionEffect.SendConfiguration(it, changed) }
    }
    return SessionStep(next, effects)
}

/** The newest change that must already be acknowledged, and all later ones. */
private fun SessionState.changesToKeep(nowMs: Long) =
    changes.filter { it.revision >= requiredRevision(nowMs) }.toPersistentList()

/** Revision that a process must have acknowledged for its lease to be renewed. */
internal fun SessionState.requiredRevision(nowMs: Long): Revision = changes
    .filter { it.acceptedAtMs == null || it.acceptedAtMs < nowMs - timing.acknowledgeTimeoutMs }
    .maxOfOrNull { it.revision } ?: Revision.NONE

private fun SessionState.handleHello(event: SessionEvent.Hello, nowMs: Long): SessionStep {
    val process = event.process
    if (process.incarnation in replaced) return step(SessionEffect.CloseStream(event.stream, "incarnation replaced"))
    val older = sessions.values.filter { it.isReplacedBy(process) }
    val same = sessions[process.instance]?.takeIf { it.process.incarnation == process.incarnation }
    val session = same?.reopened(event, nowMs) ?: Session(process, event.stream, event.revision, nowMs)
    val closed = (older + listOfNotNull(same)).mapNotNull { it.stream }.filter { it != event.stream }
    val next = older.fold(this) { state, removed -> state.replace(removed, nowMs) }
    val effects = closed.map { SessionEffect.CloseStream(it, "replaced by a later stream") } +
        listOfNotNull(
            SessionEffect.SendConfiguration(event.stream, configuration).takeIf {
                event.revision < configuration.revision
            },
            SessionEffect.SendRoutes(event.stream, routes).takeIf {
                process.role == ProcessRole.ENTRY && routes.term == term
            },
        )
    return SessionStep(next.copy(sessions = next.sessions.put(process.instance, session)), effects)
}

private fun Session.reopened(event: SessionEvent.Hello, nowMs: Long) = copy(
    stream = event.stream,
    lastMessageAtMs = nowMs,
    revision = event.revision,
    upSinceMs = if (lost) nowMs else upSinceMs,
    lost = false,
    crashed = false,
)

/** There is one incarnation for each instance and each address, since a restarted process can have another name. */
private fun Session.isReplacedBy(newer: ProcessDescription): Boolean = process.incarnation != newer.incarnation &&
    (process.instance == newer.instance || process.address == newer.address)

private fun SessionState.replace(older: Session, nowMs: Long): SessionState {
    val instance = older.process.instance
    val incarnations = replaced.toList().takeLast(MAX_REPLACED_INCARNATIONS) + older.process.incarnation
    val planned = older.lost || older.report?.leaving == true
    val recorded = if (planned) this else recordFailure(instance, nowMs)
    return recorded.copy(sessions = sessions.remove(instance), replaced = incarnations.toPersistentSet())
}

private fun SessionState.recordFailure(instance: InstanceName, nowMs: Long): SessionState {
    val earlier = failures[instance].orEmpty()
    if (earlier.isNotEmpty() && nowMs - earlier.last() < FAILURE_MERGE_WINDOW_MS) return this
    val times = (earlier + nowMs).takeLast(MAX_RECORDED_FAILURES).toPersistentList()
    return copy(failures = failures.put(instance, times))
}

private fun SessionState.handleHeartbeat(event: SessionEvent.Heartbeat, nowMs: Long): SessionStep {
    val session = sessions.values.firstOrNull { it.stream == event.stream } ?: return step()
    val report = event.report
    val instance = session.process.instance
    val leased = report.revision >= requiredRevision(nowMs)
    val reported = session.withReport(report, nowMs)
        .copy(leaseUntilMs = if (leased) nowMs + timing.leaseExpiryMs else session.leaseUntilMs)
    val failed = !reported.bootConfirmed || session.report.becomesUnhealthy(report)
    val recorded = if (failed) recordFailure(instance, nowMs) else this
    val wanted = assignmentsFor(instance, nowMs)
    val offer = wanted.maxOfOrNull { it.fencingNumber }?.let { Offer(it, nowMs) } ?: session.offer
    val offered = reported.copy(offer = offer)
    val shares = recorded.copy(sessions = sessions.put(instance, offered)).updateShares(reported, leased, nowMs)
    val response = SessionEffect.HeartbeatResponse(
        event.stream,
        report.sequence,
        term,
        if (leased) timing.leaseMs else 0,
        shares.shares,
        wanted,
    )
    return shares.state.step(response)
}

private fun Session.withReport(report: HeartbeatReport, nowMs: Long): Session {
    val sameBoot = this.report == null || this.report.bootId == report.bootId
    val sameHealth = this.report == null || this.report.backendHealthy == report.backendHealthy
    return copy(
        revision = maxOf(revision, report.revision),
        lastMessageAtMs = nowMs,
        report = report,
        bootConfirmed = sameBoot,
        upSinceMs = if (sameBoot && sameHealth) upSinceMs else nowMs,
        lost = false,
    )
}

private fun HeartbeatReport?.becomesUnhealthy(next: HeartbeatReport) =
    this?.backendHealthy == true && !next.backendHealthy

private fun SessionState.assignmentsFor(instance: InstanceName, nowMs: Long): List<Assignment> {
    val withdrawing = withdrawals.filter { nowMs < it.sinceMs + timing.withdrawalDelayMs }.map { it.assignment }
    return (assignments + withdrawing).filter { assignment -> assignment.members.any { it.instance == instance } }
}

private fun SessionState.handleStreamClosed(stream: Long): SessionState {
    val session = sessions.values.firstOrNull { it.stream == stream } ?: return this
    return copy(sessions = sessions.put(session.process.instance, session.copy(stream = null)))
}

private fun SessionState.expireUnresponsiveSessions(nowMs: Long): SessionStep {
    val unresponsive = sessions.values.filter { !it.lost && nowMs >= it.lastMessageAtMs + timing.sessionTimeoutMs }
    val lost = unresponsive.fold(this) { state, session ->
        val instance = session.process.instance
        val recorded = if (session.report?.leaving == true) state else state.recordFailure(instance, nowMs)
        recorded.copy(sessions = recorded.sessions.put(instance, session.toLost()))
    }
    val effects = unresponsive.mapNotNull { it.stream }.map { SessionEffect.CloseStream(it, "session timeout") }
    return SessionStep(lost.removeExpired(nowMs), effects)
}

private fun Session.toLost() = copy(stream = null, lost = true, crashed = stream == null)

private fun SessionState.removeExpired(nowMs: Long): SessionState {
    val remaining = sessions.filterValues { !it.lost || nowMs < it.lastMessageAtMs + timing.lostRetentionMs }
    val withdrawing = withdrawals.filter { nowMs < it.sinceMs + timing.withdrawalDelayMs || isStillHeld(it.assignment) }
    if (remaining.size == sessions.size && withdrawing.size == withdrawals.size) return this
    return copy(sessions = remaining.toPersistentMap(), withdrawals = withdrawing.toPersistentList())
}
