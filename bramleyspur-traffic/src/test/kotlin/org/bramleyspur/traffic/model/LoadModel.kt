/*
 * A seeded discrete-event simulation of entries, links, queues and engines that compares routing policies and admission
 * under equal load. Queues, routing and budgets are the production code; an engine is a cache of prompt blocks, a
 * prefill time and a token time. Times are milliseconds.
 */
package org.bramleyspur.traffic.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Route
import org.bramleyspur.traffic.admission.AdmissionEffect
import org.bramleyspur.traffic.admission.AdmissionQueue
import org.bramleyspur.traffic.admission.AttemptKey
import org.bramleyspur.traffic.admission.AttemptOffer
import org.bramleyspur.traffic.retry.RetryBudgets
import org.bramleyspur.traffic.retry.RetryCause
import org.bramleyspur.traffic.routing.CacheEvent
import org.bramleyspur.traffic.routing.LinkCost
import org.bramleyspur.traffic.routing.ReportedLoad
import org.bramleyspur.traffic.routing.RoutedAttempt
import org.bramleyspur.traffic.routing.Router
import org.bramleyspur.traffic.routing.RoutingRequest
import org.bramleyspur.traffic.routing.RoutingSettings
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Offered load of one account in requests per second over all entries. */
internal data class AccountLoad(val name: String, val ratePerS: Double)

/** Settings of one run; [stragglers] engines run at a quarter of their speed in the middle third. */
internal data class Scenario(
    val policy: Policy,
    val accounts: List<AccountLoad>,
    val seed: Long,
    val durationMs: Long = 40_000,
    val stragglers: Int = 0,
    val reportLagMs: Long = 0,
)

internal enum class Policy { RANDOM, ROUND_ROBIN, LEAST_REPORTED, BRAMLEYSPUR }

internal class ModelRequest(
    val id: Int,
    val account: String,
    val prompt: LongArray,
    val tokens: Int,
    val receivedAtMs: Long,
)

internal class Results {
    val firstTokenMs = mutableMapOf<String, MutableList<Long>>()
    val refused = mutableMapOf<String, Int>()
    val offered = mutableMapOf<String, Int>()
    var completed = 0
    var promptBlocks = 0L
    var cachedBlocks = 0L
    var remoteBytes = 0L

    fun percentile(p: Double, account: (String) -> Boolean = { true }): Long {
        val all = firstTokenMs.filterKeys(account).values.flatten().sorted()
        return if (all.isEmpty()) -1 else all[minOf(all.size - 1, (all.size * p).toInt())]
    }

    fun refusedShare(account: (String) -> Boolean = { true }): Double =
        refused.filterKeys(account).values.sum().toDouble() / offered.filterKeys(account).values.sum()
}

internal class LoadModel(private val scenario: Scenario) {
    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    private val random = Random(scenario.seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.number }))
    private var nowMs = 0L
    private var nextNumber = 0L
    private val results = Results()
    private val engines = List(ENGINES) { Engine(it) }
    private val entries = List(DATA_CENTRES) { Entry(it) }

    fun run(): Results {
        scenario.accounts.forEach { scheduleArrival(it) }
        engines.forEach { scheduleTick(it) }
        while (events.isNotEmpty()) {
            val event = events.poll()
            if (event.atMs > scenario.durationMs) break
            nowMs = event.atMs
            event.action()
        }
        return results
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, nextNumber++, action)
    }

    private fun scheduleTick(engine: Engine): Unit = after(1000) {
        engine.apply(engine.queue.tick(nowMs))
        scheduleTick(engine)
    }

    private fun scheduleArrival(load: AccountLoad) {
        val gapMs = -ln(1 - random.nextDouble()) * 1000 / load.ratePerS
        after(gapMs.toLong()) {
            arrive(load.name)
            scheduleArrival(load)
        }
    }

    private fun arrive(account: String) {
        val conversation = (random.nextDouble() * random.nextDouble() * CONVERSATIONS).toInt()
        val shared = LongArray(4 + conversation % 13) { conversation * 1000L + it + 1 }
        val unique = LongArray(1 + random.nextInt(3)) { random.nextLong() }
        val tokens = 1 + (-ln(1 - random.nextDouble()) * MEAN_TOKENS).toInt()
        val request = ModelRequest(nextNumber.toInt(), account, shared + unique, tokens, nowMs)
        if (nowMs >= WARM_UP_MS) results.offered.merge(account, 1, Int::plus)
        entries.random(random).accept(request)
    }

    private fun linkMs(from: Int, to: Int): Long = if (from == to) 0L else 3L + random.nextInt(3)

    private inner class Entry(val dataCentre: Int) {
        private val router = Router(
            RoutingSettings("dc$dataCentre"),
            { if (it == "dc$dataCentre") LinkCost.LOCAL else LinkCost(roundTripMs = 8.0, penaltyMs = 20.0) },
            random::nextInt,
        ).also { it.setRoutes(engines.map(Engine::route)) }
        private val budgets = RetryBudgets()
        private val reported = IntArray(ENGINES)
        private val sentTo = LongArray(ENGINES)
        private val receivedBy = LongArray(ENGINES)
        private var nextEngine = random.nextInt(ENGINES)

        fun accept(request: ModelRequest) {
            budgets.onRequest(request.account)
            attempt(request, number = 1, excluded = persistentSetOf())
        }

        private fun attempt(request: ModelRequest, number: Int, excluded: PersistentSet<Incarnation>) {
            val routing = RoutingRequest(SERVICE, request.account, request.prompt, excluded = excluded)
            val engine = choose(routing) ?: return refuse(request)
            val routedAttempt = router.sent(engine.route, routing, nowMs) ?: return refuse(request)
            if (engine.dataCentre != dataCentre) results.remoteBytes += request.prompt.size * BLOCK_BYTES
            sentTo[engine.index]++
            after(linkMs(dataCentre, engine.dataCentre)) {
                receivedBy[engine.index]++
                engine.receive(Attempt(this, request, number, excluded, routedAttempt))
            }
        }

        private fun choose(request: RoutingRequest): Engine? {
            val allowed = engines.filter { it.route.incarnation !in request.excluded }
            return when (scenario.policy) {
                Policy.RANDOM -> allowed.random(random)
                Policy.ROUND_ROBIN -> allowed[nextEngine++ % allowed.size]
                Policy.LEAST_REPORTED -> allowed.minBy { reported[it.index] }
                Policy.BRAMLEYSPUR -> router.choose(request, nowMs)?.let { route ->
                    engines.first { it.route == route }
                }
            }
        }

        fun report(engine: Engine) {
            val load = engine.queue.load(nowMs)
            val received =
                ReportedLoad(load.running, load.queued, load.slots, load.predictedWaitMs, receivedBy[engine.index])
            after(linkMs(dataCentre, engine.dataCentre) + scenario.reportLagMs) {
                reported[engine.index] = load.running + load.queued
                router.onLoad(engine.route.incarnation, received, nowMs)
            }
        }

        fun cacheEvent(engine: Engine, event: CacheEvent) = router.onCacheEvent(engine.route.incarnation, event)

        fun firstToken(attempt: Attempt) {
            router.firstToken(attempt.routedAttempt, nowMs)
            if (attempt.request.receivedAtMs < WARM_UP_MS) return
            results.firstTokenMs.getOrPut(attempt.request.account) { mutableListOf() } +=
                nowMs - attempt.request.receivedAtMs
        }

        fun ended(attempt: Attempt) {
            router.ended(attempt.routedAttempt, nowMs)
            if (attempt.request.receivedAtMs >= WARM_UP_MS) results.completed++
        }

        fun refused(attempt: Attempt, effect: AdmissionEffect.Refuse) {
            router.refused(attempt.routedAttempt, effect.reason, effect.retryAfterMs, nowMs)
            if (attempt.number >= MAX_ATTEMPTS ||
                !budgets.tryTake(RetryCause.REFUSED, attempt.request.account)
            ) {
                return refuse(attempt.request)
            }
            attempt(attempt.request, attempt.number + 1, attempt.excluded.add(attempt.routedAttempt.route.incarnation))
        }

        private fun refuse(request: ModelRequest) {
            if (request.receivedAtMs >= WARM_UP_MS) results.refused.merge(request.account, 1, Int::plus)
        }
    }

    private class Attempt(
        val entry: Entry,
        val request: ModelRequest,
        val number: Int,
        val excluded: PersistentSet<Incarnation>,
        val routedAttempt: RoutedAttempt,
    )

    private inner class Engine(val index: Int) {
        val dataCentre = index % DATA_CENTRES
        val route = Route(
            SERVICE,
            ReplicaId("r$index"),
            FencingNumber(1),
            InstanceName("i$index"),
            Incarnation("n$index"),
            "127.0.0.1:1",
            "region",
            "dc$dataCentre",
            slots = SLOTS,
        )
        val queue = AdmissionQueue(SLOTS)
        private val attempts = HashMap<AttemptKey, Attempt>()
        private val cache = LinkedHashMap<Long, Unit>(16, 0.75f, true)
        private var sequence = 0L

        fun receive(attempt: Attempt) {
            val key = AttemptKey(RequestId(attempt.request.id.toString()), attempt.number)
            attempts[key] = attempt
            val offer =
                AttemptOffer(key, attempt.request.account, 1, 0, PATIENCE_MS, nowMs + 120_000, MEAN_TOKENS.toLong())
            apply(queue.offer(offer, nowMs))
        }

        fun apply(effects: List<AdmissionEffect>): Unit = effects.forEach { effect ->
            val attempt = attempts.getValue(effect.key)
            when (effect) {
                is AdmissionEffect.Begin -> begin(effect.key, attempt)
                is AdmissionEffect.Refuse -> respond(attempt) { it.refused(attempt, effect) }
                is AdmissionEffect.CancelRun -> Unit
            }
        }

        private fun begin(key: AttemptKey, attempt: Attempt) {
            val prompt = attempt.request.prompt
            val cached = prompt.count { cache.containsKey(it) }
            results.promptBlocks += prompt.size
            results.cachedBlocks += cached
            prompt.forEach { store(it) }
            val firstMs = ((prompt.size - cached + 2) * PREFILL_MS * slowdown()).toLong()
            after(firstMs) { respond(attempt) { it.firstToken(attempt) } }
            after(firstMs + (attempt.request.tokens * TOKEN_MS * slowdown()).toLong()) {
                apply(queue.ended(key, nowMs))
                attempts.remove(key)
                respond(attempt) { it.ended(attempt) }
            }
        }

        private fun respond(attempt: Attempt, action: (Entry) -> Unit) {
            attempt.entry.report(this)
            after(linkMs(dataCentre, attempt.entry.dataCentre)) { action(attempt.entry) }
        }

        private fun store(block: Long) {
            if (cache.put(block, Unit) == null) publish(stored = true, block)
            if (cache.size <= CACHE_BLOCKS) return
            val oldest = cache.keys.first()
            cache.remove(oldest)
            publish(stored = false, oldest)
        }

        private fun publish(stored: Boolean, block: Long) {
            val event = CacheEvent(++sequence, stored, block)
            if (random.nextInt(1000) == 0) return
            after(CACHE_EVENT_LAG_MS) { entries.forEach { it.cacheEvent(this, event) } }
        }

        private fun slowdown(): Double {
            val inMiddleThird = nowMs in scenario.durationMs / 3..scenario.durationMs * 2 / 3
            return if (inMiddleThird && index < scenario.stragglers) 4.0 else 1.0
        }
    }

    companion object {
        private const val SERVICE = "recipes"
        private const val ENGINES = 24
        private const val DATA_CENTRES = 3
        private const val SLOTS = 8
        private const val CONVERSATIONS = 300
        private const val CACHE_BLOCKS = 600
        private const val CACHE_EVENT_LAG_MS = 500L
        private const val BLOCK_BYTES = 256L
        private const val PREFILL_MS = 8.0
        private const val TOKEN_MS = 25.0
        private const val MEAN_TOKENS = 40.0
        private const val PATIENCE_MS = 300L
        private const val WARM_UP_MS = 10_000L
        private const val MAX_ATTEMPTS = 4

        /** Requests per second that all slots can run when about 12 prompt blocks of each request are not cached. */
        const val CAPACITY_PER_S = ENGINES * SLOTS * 1000.0 / (14 * PREFILL_MS + MEAN_TOKENS * TOKEN_MS)
    }
}
