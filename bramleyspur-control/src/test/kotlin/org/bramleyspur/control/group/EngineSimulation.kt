/*
 * Simulated engines for tests of the planner. Orders can get no response and be executed seconds later; engines crash
 * or deregister, restart under the same id, and can lose only their connection to control.
 */
package org.bramleyspur.control.group

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.backend.BackendState
import org.bramleyspur.core.backend.GroupId
import org.bramleyspur.core.backend.GroupMembership
import org.bramleyspur.core.backend.GroupState
import org.bramleyspur.core.document.ClientLimits
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.EngineCosts
import org.bramleyspur.core.document.ModelSpec
import java.util.random.RandomGenerator

private const val SERVICE = "s"
private const val STEP_MS = 50L
private const val ANNOUNCEMENT_INTERVAL_MS = 1_200L
private const val STALL_TIMEOUT_MS = 4_000L
private const val ENTRY_RECONNECT_MS = 800L
private const val ORDER_TIMEOUT_MS = 1_000L
private const val SNAPSHOT_INTERVAL_MS = 1_000L
private const val MAX_SNAPSHOTS = 8

internal val MODELS = listOf(
    ModelSpec("large", 4, 0.67, 1.0, 16_000, 1_600),
    ModelSpec("small", 2, 0.33, 0.6, 12_000, 1_100),
)

internal val DOCUMENT = Document(
    version = 1,
    routes = persistentListOf(),
    services = persistentMapOf(
        SERVICE to DocumentService(
            SERVICE,
            392,
            EngineCosts(34, 1_000_000, 3, 6.0, 0.34, 0.007, 46.0, 2_048, 3.0, 6, 2.5, 85.0),
            MODELS.toImmutableList(),
        ),
    ),
    accounts = null,
    limits = ClientLimits(),
)

internal class SimulatedEngine(val id: String, val fabricDomain: String, var startedAtMs: Long) {
    var up = true

    /** Whether its host is down as well, which refuses no connection. */
    var dark = false

    /** Whether it has deregistered; it goes on serving for some seconds but sends no more announcements. */
    var deregistered = false

    /** Until when control cannot reach it, although entries can. */
    var controlCutOffUntilMs = 0L

    /** Until when no process can reach it, although it is running. */
    var unreachableUntilMs = 0L

    /** Until when another backend server responds at the address that control knows. */
    var misdirectedUntilMs = 0L

    /** Until when it sends nothing, although it is sound; it then executes what it has received. */
    var silentUntilMs = 0L
    var group: GroupId? = null
    var rank = 0
    var state = GroupState.JOINING
    var model: String? = null
    var members: List<String> = emptyList()
    var readyAtMs = 0L
    var brokenAtMs: Long? = null
    var staged: String? = null
    var stagedAtMs = 0L
    var stagingModel: String? = null
    var lastModel: String? = null
    var sequence = 0L

    /** Number of orders that it has started since its own start. */
    var orders = 0L
    var nextAnnouncementMs = 0L
    val highestEpochByModel = HashMap<String, Long>()
    var highestJoinedEpoch = 0L

    fun restart(nowMs: Long) {
        up = true
        dark = false
        startedAtMs = nowMs
        group = null
        deregistered = false
        lastModel = null
        sequence = 0
        orders = 0
        highestEpochByModel.clear()
        highestJoinedEpoch = 0
        brokenAtMs = null
        nextAnnouncementMs = nowMs
    }
}

/**
 * Simulates engines and one planner. [faults] enables lost orders and engine failures; [lateEngines] is the number of
 * engines that are added after the start by [SimulatedEngine.restart].
 */
internal class EngineSimulation(
    private val random: RandomGenerator,
    engines: Int,
    var faults: Boolean,
    domains: Int = 3,
    lateEngines: Int = 0,
    private val document: Document = DOCUMENT,
) {
    private val models = document.services.getValue(SERVICE).models
    val engines = (0 until engines).map { SimulatedEngine("e$it", "d${it * domains / engines}", 1) } +
        (0 until lateEngines).map { number ->
            SimulatedEngine("e${engines + number}", "d${number % domains}", 1).also { it.up = false }
        }
    private val byId = this.engines.associateBy { it.id }
    val violations = ArrayList<String>()

    /** Number of orders that the planner has sent. */
    var ordersSent = 0
        private set

    /** Number of probes that the planner has sent. */
    var probesSent = 0
        private set

    /** Number of planning runs, and the time that they took. */
    var plans = 0
        private set
    var planNanos = 0L
        private set

    /** Events of all engines and leaders, printed when a violation is found. */
    val history = ArrayList<String>()
    var nowMs = 100_000L
        private set

    /** How late the leader reads what arrives, and plans; 0 for at once. */
    var leaderDelayMs = 0L
    private var nextPlanMs = 0L

    /** The missing groups of the last planning run. */
    var gaps: List<GroupGap> = emptyList()
        private set
    private val unread = ArrayList<() -> Unit>()

    /** What the measured demand asks of the planner. */
    var demand: (term: Long, planner: PlannerState, nowMs: Long) -> Map<String, DemandTargets> =
        { _, _, _ -> emptyMap() }

    /** Whether a request has been served; until then loads take a tenth of their time. */
    var trafficStarted = true

    /** Whether callers' requests run at the heads; without them entries report nothing. */
    var traffic = true
    private var term = 1L
    private var leaseLapsedUntilMs = 0L
    private val earlierDirectories = ArrayDeque<BackendDirectory>()
    private var current = TermState()
    private var state
        get() = current.planner
        set(planner) {
            current = current.copy(planner = planner)
        }
    private var directory = BackendDirectory()
    private val evidence = HashMap<String, EngineEvidence>()
    private val scheduled = ArrayList<Pair<Long, () -> Unit>>()
    private val readyMembers = HashSet<Triple<String, GroupId, List<String>>>()

    /** Whether the leader has ordered the group to be closed or left, or takes it apart. */
    fun isTakenApart(group: GroupId): Boolean = state.groups[group]?.phase != GroupPhase.SERVING ||
        history.any { it.contains("executes Leave(group=$group") || it.contains("executes Close(group=$group") }

    /** Heads that are serving with a complete group. */
    fun servingHeads(): List<SimulatedEngine> = engines.filter { isServing(it) }

    private fun isServing(engine: SimulatedEngine) =
        engine.up && engine.group != null && engine.rank == 0 && engine.state == GroupState.OPEN && isComplete(engine)

    private fun isComplete(head: SimulatedEngine) = head.members.all { id ->
        val member = byId.getValue(id)
        member.up && member.group == head.group
    }

    /** Lets each host hold the weights of one of the models, as after a start. */
    fun stageWeights() = engines.forEachIndexed { index, engine -> engine.staged = models[index % models.size].name }

    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) step()
    }

    private fun step() {
        nowMs += STEP_MS
        if (faults) injectFaults()
        val due = scheduled.filter { it.first <= nowMs }
        scheduled -= due.toSet()
        due.forEach { it.second() }
        engines.filter { it.up }.forEach { progress(it) }
        recordEvidence()
        recordDirectory()
        plan()
    }

    private fun recordDirectory() {
        if (nowMs % SNAPSHOT_INTERVAL_MS != 0L) return
        earlierDirectories += directory
        if (earlierDirectories.size > MAX_SNAPSHOTS) earlierDirectories.removeFirst()
    }

    private fun injectFaults() {
        if (random.nextInt(60) == 0) {
            val engine = engines[random.nextInt(engines.size)]
            if (engine.up) {
                engine.up = false
                engine.dark = random.nextBoolean()
                scheduled += nowMs + 2_000 + random.nextInt(4_000) to { engine.restart(nowMs) }
            }
        }
        if (random.nextInt(150) == 0) {
            engines[random.nextInt(engines.size)].controlCutOffUntilMs = nowMs + 1_000 + random.nextInt(9_000)
        }
        if (random.nextInt(250) == 0) disconnect(engines[random.nextInt(engines.size)], 1_000L + random.nextInt(9_000))
        if (random.nextInt(300) == 0) term++
        if (random.nextInt(600) == 0) restartControl()
        if (random.nextInt(200) == 0) deregister(engines[random.nextInt(engines.size)])
    }

    /**
     * Restarts all control instances, which know no backend server until it announces itself or entries report it.
     */
    fun restartControl() = restartControl(directory)

    /**
     * Restarts all control instances; what entries report is up to some seconds old and, for each engine, missing with
     * the probability [missingShare].
     */
    fun restartControlWithOlderDirectory(missingShare: Double) {
        val known = earlierDirectories[random.nextInt(earlierDirectories.size)]
        val missing = known.backends.keys.filter { random.nextDouble() < missingShare }
        restartControl(BackendDirectory(missing.fold(known.backends) { backends, id -> backends.remove(id) }))
    }

    private fun restartControl(known: BackendDirectory) {
        directory = BackendDirectory()
        current = TermState()
        evidence.clear()
        unread.clear()
        term++
        scheduled += nowMs + ENTRY_RECONNECT_MS to {
            directory = known.backends.values.fold(directory) { merged, backend ->
                merged.withAnnouncement(backend.announcement, backend.receivedAtMs)
            }
        }
    }

    /** Lets the lease of the leader lapse for [durationMs]; it then leads the same term again. */
    fun lapseLease(durationMs: Long) {
        leaseLapsedUntilMs = nowMs + durationMs
    }

    /** Lets another backend server, of no known service, announce the address of the engine for [durationMs]. */
    fun takeAddress(engine: SimulatedEngine, durationMs: Long) {
        val other = announcement(engine).copy(
            id = "other-${engine.id}-$nowMs",
            startedAtMs = nowMs,
            service = "unknown",
            groupMembership = null,
        )
        directory = directory.withAnnouncement(other, nowMs)
        scheduled += nowMs + durationMs to {
            val gone = other.copy(sequence = other.sequence + 1, state = BackendState.GONE)
            directory = directory.withAnnouncement(gone, nowMs)
        }
    }

    /** Removes the engine from the directory until its next announcement. */
    fun dropEntry(engine: SimulatedEngine) {
        directory = BackendDirectory(directory.backends.remove(engine.id))
    }

    /** Lets another backend server answer the orders to the engine for [durationMs]. */
    fun misdirectOrders(engine: SimulatedEngine, durationMs: Long) {
        engine.misdirectedUntilMs = nowMs + durationMs
    }

    /** Begins another term, as when another control instance leads. */
    fun changeLeader() {
        term++
    }

    /** Makes the engine unreachable for all processes for [durationMs]; it keeps running. */
    fun disconnect(engine: SimulatedEngine, durationMs: Long) {
        engine.controlCutOffUntilMs = nowMs + durationMs
        engine.unreachableUntilMs = nowMs + durationMs
    }

    /** Deregisters the engine, which goes on serving for 3 s, stops, and restarts 3 s later. */
    fun deregister(engine: SimulatedEngine) {
        if (!engine.up || engine.deregistered) return
        engine.deregistered = true
        engine.sequence++
        directory = directory.withAnnouncement(announcement(engine).copy(state = BackendState.GONE), nowMs)
        scheduled += nowMs + 3_000 to { engine.up = false }
        scheduled += nowMs + 6_000 to { engine.restart(nowMs) }
    }

    private fun progress(engine: SimulatedEngine) {
        if (engine.stagingModel != null && engine.stagedAtMs <= nowMs) {
            engine.staged = engine.stagingModel
            engine.stagingModel = null
            engine.nextAnnouncementMs = nowMs
        }
        val group = engine.group
        if (group != null && engine.state == GroupState.JOINING && engine.readyAtMs <= nowMs) {
            engine.state = GroupState.READY
            engine.staged = engine.model
            engine.lastModel = engine.model
            engine.nextAnnouncementMs = nowMs
            readyMembers += Triple(engine.id, group, engine.members)
        }
        stall(engine)
        val sends = !engine.deregistered && engine.controlCutOffUntilMs <= nowMs && engine.silentUntilMs <= nowMs
        if (sends && engine.nextAnnouncementMs <= nowMs) {
            engine.sequence++
            engine.nextAnnouncementMs = nowMs + ANNOUNCEMENT_INTERVAL_MS
            val announcement = announcement(engine)
            receive { directory = directory.withAnnouncement(announcement, nowMs) }
        }
    }

    private fun stall(engine: SimulatedEngine) {
        val open = engine.group != null && engine.rank == 0 &&
            (engine.state == GroupState.OPEN || engine.state == GroupState.CLOSING)
        when {
            !open -> engine.brokenAtMs = null
            isComplete(engine) -> {
                engine.brokenAtMs = null
                if (engine.state == GroupState.CLOSING) engine.state = GroupState.READY
            }
            engine.brokenAtMs == null -> engine.brokenAtMs = nowMs + STALL_TIMEOUT_MS
            engine.brokenAtMs!! <= nowMs -> {
                engine.state = GroupState.BROKEN
                engine.nextAnnouncementMs = nowMs
            }
        }
    }

    private fun announcement(engine: SimulatedEngine) = Announcement(
        id = engine.id,
        startedAtMs = engine.startedAtMs,
        sequence = engine.sequence,
        service = SERVICE,
        address = "10.0.0.1:${engine.id.drop(1).toInt() + 1}",
        dataCentre = engine.fabricDomain,
        slots = 34,
        state = BackendState.READY,
        fabricDomain = engine.fabricDomain,
        stagedModels = listOfNotNull(engine.staged).toPersistentList(),
        groupMembership = engine.group?.let { GroupMembership(it, engine.rank, engine.state, engine.model) },
    )

    /**
     * Reports of entries: serving heads respond unless a member is silent, other heads that are announced as open are
     * unresponsive.
     */
    private fun recordEvidence() {
        if (!traffic || nowMs % 250 != 0L) return
        val heads = directory.backends.values.filter {
            it.announcement.groupMembership?.rank == 0 && it.announcement.groupMembership?.state == GroupState.OPEN
        }
        for (known in heads) {
            val before = evidence[known.announcement.id] ?: EngineEvidence()
            val engine = byId.getValue(known.announcement.id)
            val silent = engine.members.any { byId.getValue(it).silentUntilMs > nowMs }
            val responds = isServing(engine) && engine.unreachableUntilMs <= nowMs && !silent
            evidence[known.announcement.id] =
                if (responds) before.copy(lastResponseMs = nowMs) else before.copy(lastUnresponsiveMs = nowMs)
        }
    }

    /** Lets the leader handle a message, which a late one does with its next plan. */
    private fun receive(message: () -> Unit) {
        if (leaderDelayMs == 0L) message() else unread += message
    }

    private fun plan() {
        if (nowMs < nextPlanMs) return
        nextPlanMs = nowMs + leaderDelayMs
        unread.forEach { it() }
        unread.clear()
        val leads = nowMs >= leaseLapsedUntilMs
        current = current.beginPlan(term.takeIf { leads })
        if (!leads) return
        val before = state
        val targets = demand(term, before, nowMs)
        val known = directory.backends
        val input =
            PlannerInput(nowMs, term, document, known, evidence, trafficStarted, leaderDelayMs, demand = targets)
        val startNanos = System.nanoTime()
        val step = planGroups(state, input)
        planNanos += System.nanoTime() - startNanos
        plans++
        probesSent += step.probes.size
        state = step.state
        gaps = step.gaps
        (before.groups.keys - state.groups.keys).forEach { history += "$nowMs leader $term ends $it" }
        state.groups.values.filter { it != before.groups[it.id] }.forEach { history += "$nowMs leader $term $it" }
        step.probes.forEach { answer(it) }
        ordersSent += step.orders.size
        step.orders.forEach { deliver(it) }
    }

    private fun answer(probe: EngineProbe) {
        val engine = byId.getValue(probe.incarnation.id)
        val sentMs = nowMs
        val probeTerm = term
        val responds = engine.up && engine.controlCutOffUntilMs <= nowMs && engine.silentUntilMs <= nowMs &&
            engine.startedAtMs == probe.incarnation.startedAtMs
        val result = when {
            responds -> ProbeResult.Answered(EngineReport(engine.orders, engine.group))
            engine.up || engine.dark -> ProbeResult.Unanswered
            else -> ProbeResult.Refused
        }
        scheduled += nowMs + STEP_MS to {
            receive {
                if (probeTerm == term) {
                    val announced = announced(probe.incarnation.id)
                    state = onProbeResult(state, probe.incarnation, result, announced, sentMs, nowMs)
                }
            }
        }
    }

    private fun announced(id: String) = directory.backends[id]?.announcement?.groupMembership?.id

    private fun deliver(order: EngineOrder) {
        val engine = byId.getValue(order.engineId)
        val target = EngineIncarnation(engine.id, directory.backends.getValue(engine.id).announcement.startedAtMs)
        val sentTerm = term
        val reachable = engine.up && engine.controlCutOffUntilMs <= nowMs
        val silentMs = maxOf(0, engine.silentUntilMs - nowMs)
        val unanswered = !reachable || silentMs > ORDER_TIMEOUT_MS || faults && random.nextInt(3) == 0
        val lost = unanswered && silentMs == 0L
        val delayMs = if (lost) 2_000L + random.nextInt(10_000) else silentMs + STEP_MS
        if (unanswered) {
            scheduled += nowMs + ORDER_TIMEOUT_MS to {
                receive { onResult(sentTerm, target, order.command, OrderResult.UNANSWERED) }
            }
        }
        if (!reachable) return
        val misdirected = engine.misdirectedUntilMs > nowMs
        scheduled += nowMs + delayMs to {
            val result = if (engine.up && engine.startedAtMs == target.startedAtMs && !misdirected) {
                accept(engine, order)
            } else {
                OrderResult.ABSENT
            }
            if (!unanswered) receive { onResult(sentTerm, target, order.command, result) }
        }
    }

    private fun onResult(sentTerm: Long, target: EngineIncarnation, command: EngineCommand, result: OrderResult) {
        if (sentTerm == term) state = onOrderResult(state, target, command, result, nowMs)
    }

    private fun accept(engine: SimulatedEngine, order: EngineOrder): OrderResult {
        if (order.expectedOrders != null && order.expectedOrders != engine.orders) return OrderResult.REFUSED
        val command = order.command
        val busy = engine.stagingModel != null
        if (command is EngineCommand.Stage && busy && engine.stagingModel != command.model) return OrderResult.REFUSED
        engine.orders++
        history += "$nowMs ${engine.id} of ${order.fencingNumber} executes ${order.command} #${engine.orders}"
        execute(engine, order)
        return OrderResult.ACCEPTED
    }

    private fun execute(engine: SimulatedEngine, order: EngineOrder) {
        when (val command = order.command) {
            is EngineCommand.Join -> join(engine, command)
            is EngineCommand.Open -> open(engine, command.group)
            is EngineCommand.Close -> if (engine.group == command.group && engine.state == GroupState.OPEN) {
                engine.state = GroupState.CLOSING
            }
            is EngineCommand.Leave -> if (engine.group == command.group) engine.group = null
            is EngineCommand.Stage -> if (engine.staged != command.model && engine.stagingModel == null) {
                engine.stagingModel = command.model
                engine.stagedAtMs = nowMs + loadMs(models.first { it.name == command.model })
            }
        }
        engine.nextAnnouncementMs = nowMs
    }

    private fun join(engine: SimulatedEngine, command: EngineCommand.Join) {
        if (command.group.epoch < engine.highestJoinedEpoch || command.group == engine.group) return
        val former = engine.group
        if (former != null && former != command.group) checkFormerHead(engine, former, command.group)
        val model = models.first { it.name == command.model }
        val costMs = when {
            engine.lastModel == model.name -> 200
            engine.staged == model.name -> model.stagedLoadMs
            else -> loadMs(model)
        }
        engine.highestJoinedEpoch = command.group.epoch
        engine.group = command.group
        engine.rank = command.members.indexOf(engine.id)
        engine.members = command.members
        engine.model = model.name
        engine.state = GroupState.JOINING
        engine.readyAtMs = nowMs + costMs
    }

    private fun loadMs(model: ModelSpec) = if (trafficStarted) model.loadMs else model.loadMs / 10

    private fun checkFormerHead(engine: SimulatedEngine, former: GroupId, next: GroupId) {
        val head = byId[engine.members.firstOrNull()] ?: return
        val serving = head.up && head.group == former &&
            (head.state == GroupState.OPEN || head.state == GroupState.CLOSING)
        if (serving) violations += "$nowMs: ${engine.id} joins $next while ${head.id} serves $former"
    }

    private fun open(engine: SimulatedEngine, group: GroupId) {
        if (engine.group != group || engine.rank != 0 || engine.state != GroupState.READY) return
        val missing = engine.members.filter { Triple(it, group, engine.members) !in readyMembers }
        if (missing.isNotEmpty()) violations += "$nowMs: ${engine.id} opens $group without $missing"
        engine.state = GroupState.OPEN
    }
}
