package org.bramleyspur.control.session

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.Account
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.AssignmentState
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision
import org.bramleyspur.core.model.ServiceKind
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against wrong time-outs of sessions and leases, routes to unusable servers, and wrong account shares. */
class SessionMachineTest {
    @Test
    fun `a session is lost after the timeout but not within the first session timeout of a new leader`() {
        val leader = TestLeader().hello(1, "a").heartbeat(1)
        leader.send(SessionEvent.Tick, 4_999)
        expectThat(leader.session("a").lost).isFalse()
        expectThat(leader.state.canDeclareLost(4_999)).isFalse()
        leader.send(SessionEvent.Tick, 5_000)
        expectThat(leader.session("a").lost).isTrue()
        expectThat(leader.state.canDeclareLost(5_000)).isTrue()
    }

    @Test
    fun `a later incarnation replaces the older one, whose messages are then ignored`() {
        val leader = TestLeader().hello(1, "a", "i1").hello(2, "a", "i2")
        expectThat(leader.effects.filterIsInstance<SessionEffect.CloseStream>().map { it.stream }).containsExactly(1L)
        leader.heartbeat(1).hello(3, "a", "i1")
        expectThat(leader.session("a").process.incarnation).isEqualTo(Incarnation("i2"))
        expectThat(leader.responses()).isEmpty()
    }

    @Test
    fun `a lease is not renewed for a process that has not acknowledged a change within 3 s`() {
        val leader = TestLeader().hello(1, "a")
        leader.commit(Configuration(Revision(5)), atMs = 1_000)
        expectThat(leader.heartbeat(1, 0, atMs = 4_000).lastLease()).isEqualTo(6_000)
        expectThat(leader.heartbeat(1, 0, atMs = 4_001).lastLease()).isEqualTo(0)
        expectThat(leader.heartbeat(1, 5, atMs = 4_002).lastLease()).isEqualTo(6_000)
    }

    @Test
    fun `a new leader does not renew the lease of a process that is behind the committed configuration`() {
        val leader = TestLeader(Configuration(Revision(5))).hello(1, "a")
        expectThat(leader.effects.filterIsInstance<SessionEffect.SendConfiguration>()).hasSize(1)
        expectThat(leader.heartbeat(1, 4).lastLease()).isEqualTo(0)
    }

    @ParameterizedTest
    @CsvSource("unresponsive", "closed", "leaving", "unhealthy", "restarted", "drained", "renamed", "incarnation")
    fun `a plain backend server that must not be used gets no route within 3 s`(fault: String) {
        val leader = TestLeader().hello(1, "p", kind = ServiceKind.PLAIN).heartbeatsUntil(6_000, 1)
        expectThat(leader.state.routes.routes.map { it.instance.value }).containsExactly("p")
        when (fault) {
            "unresponsive" -> leader.send(SessionEvent.Tick, 9_000)
            "closed" -> leader.send(SessionEvent.StreamClosed(1), 6_100)
            "leaving" -> leader.heartbeat(1, report = REPORT.copy(leaving = true))
            "unhealthy" -> leader.heartbeat(1, report = REPORT.copy(backendHealthy = false))
            "restarted" -> leader.heartbeat(1, report = REPORT.copy(bootId = "b2"))
            "drained" -> leader.commit(Configuration(Revision(1), drainedInstances = persistentSetOf(name("p"))))
            "renamed" -> leader.hello(2, "q", "i2", ServiceKind.PLAIN, address = "p:1")
            else -> leader.hello(2, "p", "i2", ServiceKind.PLAIN)
        }
        expectThat(leader.state.routes.routes).isEmpty()
        expectThat(leader.state.routes.sequence).isEqualTo(2)
    }

    @Test
    fun `a restarted plain backend server gets its route back with its second heartbeat`() {
        val leader = TestLeader().hello(1, "p", kind = ServiceKind.PLAIN).heartbeatsUntil(6_000, 1)
        repeat(2) { leader.heartbeat(1, report = REPORT.copy(bootId = "b2")) }
        expectThat(leader.state.routes.routes).hasSize(1)
    }

    @Test
    fun `a replica is routed while its first member serves under the current fencing number`() {
        val leader = TestLeader(assignments = listOf(ASSIGNMENT)).hello(1, "a").hello(9, "e", role = ProcessRole.ENTRY)
        leader.heartbeatsUntil(6_000, 1, SERVING)
        expectThat(leader.state.routes.routes.map { it.replica }).containsExactly(ReplicaId("r"))
        leader.heartbeat(1, report = SERVING.with(number = 6))
        expectThat(leader.state.routes.routes).isEmpty()
        leader.heartbeat(1, report = SERVING.with(state = AssignmentState.READY))
        expectThat(leader.state.routes.routes).isEmpty()
    }

    @Test
    fun `the route of a retired replica is withdrawn before its assignment`() {
        val leader = TestLeader(assignments = listOf(ASSIGNMENT)).hello(1, "a").heartbeatsUntil(6_000, 1, SERVING)
        leader.commit(Configuration(), assignments = emptyList())
        expectThat(leader.state.routes.routes).isEmpty()
        expectThat(leader.heartbeat(1, report = SERVING, atMs = 6_999).responses().last().assignments).hasSize(1)
        leader.send(SessionEvent.Tick, 7_000)
        expectThat(leader.heartbeat(1, report = SERVING).responses().last().assignments).isEmpty()
    }

    @Test
    fun `a new leader sends no route table before its first session timeout has passed`() {
        val leader = TestLeader(
            assignments = listOf(ASSIGNMENT),
        ).hello(9, "e", role = ProcessRole.ENTRY).heartbeatsUntil(4_999, 9)
        expectThat(leader.effects.filterIsInstance<SessionEffect.SendRoutes>()).isEmpty()
        leader.send(SessionEvent.Tick, 5_000)
        expectThat(leader.effects.filterIsInstance<SessionEffect.SendRoutes>()).hasSize(1)
    }

    @Test
    fun `the status of a change names missing and lease-expired processes`() {
        val leader = TestLeader().hello(1, "a").hello(2, "b").hello(3, "c").heartbeat(1).heartbeat(2).heartbeat(3)
        leader.commit(Configuration(Revision(5)), atMs = 1_000)
        leader.heartbeat(1, 5, atMs = 2_000).heartbeat(2, 0, atMs = 2_000)
        val status = leader.state.changeStatus(Revision(5), 6_500)
        expectThat(status).isEqualTo(ChangeStatus(1, 3, listOf(name("b")), listOf(name("c"))))
    }

    @Test
    fun `failures are recorded for flap damping and a planned stop is not a failure`() {
        val leader = TestLeader().hello(1, "a").heartbeat(1).hello(2, "a", "i2").heartbeat(2)
        val restarted = REPORT.copy(bootId = "b2")
        leader.heartbeatsUntil(
            20_000,
            2,
        ).heartbeat(2, report = restarted, atMs = 20_000).heartbeat(2, report = restarted, atMs = 21_000)
        leader.heartbeat(2, report = restarted.copy(leaving = true), atMs = 22_000).hello(3, "a", "i3")
        expectThat(leader.state.failures[name("a")].orEmpty()).hasSize(2)
    }

    /** Guards against a single crash counting as flapping, which excluded a restarted instance for 5 minutes. */
    @Test
    fun `one crash counts as one failure although it is observed several times`() {
        val leader = TestLeader().hello(1, "a").heartbeat(1)
        leader.heartbeat(
            1,
            report = REPORT.copy(backendHealthy = false),
        ).heartbeat(1, report = REPORT.copy(bootId = "b2"))
        leader.hello(2, "a", "i2").heartbeat(2)
        expectThat(leader.state.failures[name("a")].orEmpty()).hasSize(1)
    }

    @ParameterizedTest
    @CsvSource("10,1;1;1,4;3;3", "10,8;0;0,6;2;2", "2,0;5;3,0;1;1", "3,9;0;0,1;1;1", "1,0;0;0,1;0;0")
    fun `a limit is split by demand with at least one for each entry where it allows`(
        limit: Int,
        demands: String,
        shares: String,
    ) {
        val holders = listOf("a", "b", "c").map { ShareHolder(name(it), Incarnation("i")) }
        val split = allocate(limit, holders.zip(demands.split(";").map { it.toInt() }).toMap())
        expectThat(holders.map { split.getValue(it) }).isEqualTo(shares.split(";").map { it.toInt() })
    }
}

private fun name(value: String) = InstanceName(value)

private val REPORT = HeartbeatReport(1, Revision.NONE, bootId = "b1")
private val ASSIGNMENT = Assignment(
    ReplicaId("r"),
    FencingNumber(7),
    "chat",
    "m",
    "v1",
    persistentListOf(),
    persistentListOf(Member(name("a"), "a:1"), Member(name("b"), "b:1")),
)
private val SERVING = REPORT.with()

private fun HeartbeatReport.with(number: Long = 7, state: AssignmentState = AssignmentState.SERVING) =
    copy(assignments = listOf(AssignmentReport(ReplicaId("r"), FencingNumber(number), state)))

/** A leader with a manual clock that collects effects. */
private class TestLeader(configuration: Configuration = Configuration(), assignments: List<Assignment> = emptyList()) {
    var state = SessionState.initial()
    var nowMs = 0L
    val effects = mutableListOf<SessionEffect>()

    init {
        send(SessionEvent.BecameLeader(3, configuration, assignments), 0)
    }

    fun send(event: SessionEvent, atMs: Long): TestLeader = apply {
        nowMs = atMs
        val step = state.handle(event, atMs)
        state = step.state
        effects += step.effects
    }

    fun hello(
        stream: Long,
        instance: String,
        incarnation: String = "i1",
        kind: ServiceKind = ServiceKind.MODEL,
        role: ProcessRole = ProcessRole.AGENT,
        address: String = "$instance:1",
    ): TestLeader {
        val hello = ProcessDescription(role, name(instance), Incarnation(incarnation), address, backendKind = kind)
        return send(SessionEvent.Hello(stream, hello, Revision.NONE), nowMs)
    }

    fun heartbeat(stream: Long, revision: Long = 0, atMs: Long = nowMs, report: HeartbeatReport = REPORT): TestLeader =
        send(SessionEvent.Heartbeat(stream, report.copy(revision = Revision(revision))), atMs)

    fun heartbeatsUntil(untilMs: Long, stream: Long, report: HeartbeatReport = REPORT): TestLeader = apply {
        while (nowMs < untilMs) heartbeat(stream, atMs = minOf(nowMs + 1_000, untilMs), report = report)
    }

    fun commit(configuration: Configuration, assignments: List<Assignment> = state.assignments, atMs: Long = nowMs) =
        send(SessionEvent.Committed(configuration, assignments), atMs)

    fun session(instance: String): Session = state.sessions.getValue(name(instance))

    fun responses() = effects.filterIsInstance<SessionEffect.HeartbeatResponse>()

    fun lastLease(): Long = responses().last().leaseMs
}
