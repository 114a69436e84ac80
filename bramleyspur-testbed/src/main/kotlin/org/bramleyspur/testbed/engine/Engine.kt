/*
 * The stand-in engine: its role, its slots and its queue. It runs on one event loop, so nothing is locked.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.PriorityQueue
import java.util.concurrent.TimeUnit

/** A stand-in model engine; all calls are on [loop]. */
internal class Engine(private val settings: EngineSettings, private val loop: EventLoop) {
    private val running = LinkedHashMap<String, Generation>()
    private val queue =
        PriorityQueue<Queued>(compareByDescending<Queued> { it.generation.call.priority }.thenBy { it.order })
    private val runs = RunCounter()
    private val attempts = AttemptLog()
    private val meter = LoadMeter(settings.reportLagMs, settings.slots)
    private val group = GroupCheck(loop, settings) { endAllWork() }
    private var order = initialOrder()
    private var state = if (settings.model == null) EngineState.IDLE else EngineState.READY
    private var highestFencingNumber = 0L
    private var loadNumber = 0
    private var queueOrder = 0L
    private var slowDown = settings.slowDown
    private var failLoad = settings.failLoad

    /** The cache events that this engine publishes. */
    val cacheEvents = CacheEventLog(loop, settings.cacheEventDelayMs, settings.cacheEventLoss, settings.seed)
    private val cache = PrefixCache(settings.cacheBlocks, cacheEvents::add)

    private class Queued(val order: Long, val generation: Generation)

    /** Starts the periodic work. */
    fun start() {
        group.watch(order)
        sampleLoad()
        loop.scheduleAtFixedRate(::sampleLoad, LOAD_SAMPLE_MS, LOAD_SAMPLE_MS, TimeUnit.MILLISECONDS)
    }

    /** Carries out an order; null when its fencing number is refused. */
    fun order(next: Order): OrderAnswer? {
        if (settings.fencing == Fencing.HONOUR && next.fencingNumber < highestFencingNumber) return null
        highestFencingNumber = maxOf(highestFencingNumber, next.fencingNumber)
        val sameWork = state != EngineState.FAILED && next.sameWorkAs(order)
        order = next
        group.watch(next)
        if (!sameWork) {
            endAllWork()
            load(next)
        }
        return OrderAnswer(accepted = true, bootId = settings.bootId)
    }

    /** The present state. */
    fun report(): StateReport = StateReport(
        bootId = settings.bootId,
        role = order.role,
        state = state,
        replica = order.replica,
        fencingNumber = order.fencingNumber,
        model = order.model,
        version = order.version,
        adapters = order.adapters,
        running = running.size,
        slots = settings.slots,
    )

    /** The load as it was one report lag ago. */
    fun loadReport(): LoadReport {
        if (settings.reportLagMs == 0L) sampleLoad()
        return meter.report(System.nanoTime())
    }

    /** The runs begun since the start. */
    fun runsReport(): RunsReport = RunsReport(runs.total, runs.byKey())

    /** Begins or queues a request, or refuses it through [sink]; null when it is refused. */
    fun submit(call: CallHeaders, request: CompletionRequest, sink: TokenSink): Generation? {
        attempts.seen(call.attempt)
        val generation = generation(call, request, sink)
        val refusal = refusalOf(generation)
        if (refusal != null) {
            sink.refused(refusal)
            return null
        }
        if (running.size < settings.slots) begin(generation) else queue += Queued(queueOrder++, generation)
        return generation
    }

    /** Ends an attempt; its slot is free on return. */
    fun cancel(attempt: String): CancelAnswer {
        val generation = running[attempt]
        val queued = queue.firstOrNull { it.generation.call.attempt == attempt }
        if (generation != null) {
            release(generation)
            generation.sink.broken()
        }
        if (queued != null) {
            queue.remove(queued)
            queued.generation.sink.refused(EngineRefusal.Cancelled)
        }
        return attempts.answer(attempt)
    }

    /** Ends the generation of a caller that has disconnected. */
    fun abandon(generation: Generation) {
        queue.removeIf { it.generation === generation }
        if (running[generation.call.attempt] === generation) release(generation)
    }

    /** Changes the behaviour during a test. */
    fun change(change: SettingsChange) {
        change.slowDown?.let { slowDown = it }
        change.failLoad?.let { failLoad = it }
    }

    private fun initialOrder(): Order {
        val model = settings.model ?: return Order(fencingNumber = 0, role = EngineRole.NONE)
        return Order(
            fencingNumber = 0,
            role = EngineRole.FIRST,
            model = model,
            version = settings.version,
            adapters = settings.adapters,
        )
    }

    private fun load(next: Order) {
        val number = ++loadNumber
        cache.clear()
        if (next.role == EngineRole.NONE) {
            state = EngineState.IDLE
            return
        }
        state = EngineState.LOADING
        loop.schedule({ if (number == loadNumber) loaded() }, settings.loadMs, TimeUnit.MILLISECONDS)
    }

    private fun loaded() {
        state = if (failLoad) EngineState.FAILED else EngineState.READY
    }

    private fun generation(call: CallHeaders, request: CompletionRequest, sink: TokenSink): Generation {
        val tokens = TokenFunction(order.model, order.version, request.adapter, request.prompt)
        val length = request.maxTokens ?: settings.defaultMaxTokens
        return Generation(call, request, sink, tokens, length, loop)
    }

    private fun refusalOf(generation: Generation): EngineRefusal? {
        val request = generation.request
        val adapterLoaded = request.adapter == null || request.adapter in order.adapters
        return roleRefusal(generation.call) ?: when {
            request.model != order.model || !adapterLoaded -> EngineRefusal.NotLoaded(request.modelName)
            !generation.resumesExactly() -> EngineRefusal.Malformed("resume.tokens differ from this model's own tokens")
            generation.call.attempt in running -> EngineRefusal.Malformed(
                "attempt ${generation.call.attempt} is running",
            )
            expired(generation) -> EngineRefusal.Expired
            running.size >= settings.slots && queue.size >= settings.queueLimit -> EngineRefusal.NoSlot
            else -> null
        }
    }

    private fun roleRefusal(call: CallHeaders): EngineRefusal? {
        val numberChecked = settings.fencing == Fencing.HONOUR && call.fencingNumber != null
        return when {
            order.role != EngineRole.FIRST -> EngineRefusal.NotInRole("this engine is not a first member")
            state != EngineState.READY -> EngineRefusal.NotInRole("this engine is not ready")
            call.replica != null && call.replica != order.replica ->
                EngineRefusal.NotInRole("this engine serves replica '${order.replica}', not '${call.replica}'")
            numberChecked && call.fencingNumber != order.fencingNumber ->
                EngineRefusal.NotInRole("the fencing number is ${order.fencingNumber}, not ${call.fencingNumber}")
            !group.complete -> EngineRefusal.NotInRole("the group is incomplete")
            else -> null
        }
    }

    private fun expired(generation: Generation): Boolean {
        val deadline = generation.deadlineNanos ?: return false
        return System.nanoTime() - deadline >= 0
    }

    private fun begin(generation: Generation) {
        running[generation.call.attempt] = generation
        attempts.begun(generation.call.attempt)
        runs.count(requestOf(generation.call.attempt))
        val text = generation.request.prompt + generation.request.resume?.tokens.orEmpty().joinToString("")
        val bytes = text.toByteArray()
        val fresh = bytes.size - cache.use(bytes)
        val prefillNanos = (fresh * settings.prefillMicrosPerByte * slowDown * 1e3).toLong()
        generation.start(prefillNanos, ::intervalNanos, meter::countToken) { release(generation) }
    }

    private fun intervalNanos(): Long = (settings.decodeMs * slowDown * 1e6).toLong()

    private fun release(generation: Generation) {
        generation.stop()
        running.remove(generation.call.attempt)
        while (running.size < settings.slots) {
            val next = queue.poll()?.generation ?: return
            if (expired(next)) next.sink.refused(EngineRefusal.Expired) else begin(next)
        }
    }

    private fun endAllWork() {
        val waiting = queue.map { it.generation }
        queue.clear()
        val ended = running.values.toList()
        ended.forEach { release(it) }
        ended.forEach { it.sink.broken() }
        waiting.forEach { it.sink.refused(EngineRefusal.NotInRole("the engine left its role")) }
    }

    private fun sampleLoad() {
        meter.sample(System.nanoTime(), running.size, queue.size)
    }
}
