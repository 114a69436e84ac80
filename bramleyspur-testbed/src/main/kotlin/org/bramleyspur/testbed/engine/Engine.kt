/*
 * The stand-in engine: its role, its slots and its queue. It runs on one event loop and needs no locks.
 */
package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.PriorityQueue
import java.util.concurrent.TimeUnit

/** A stand-in model engine. Must be called on [eventLoop] only. */
internal class Engine(private val settings: EngineSettings, private val eventLoop: EventLoop) {
    private val running = LinkedHashMap<String, Generation>()
    private val queue =
        PriorityQueue<QueuedGeneration>(
            compareByDescending<QueuedGeneration> { it.generation.call.priority }.thenBy { it.arrivalNumber },
        )
    private val runs = RunCounter()
    private val attempts = AttemptLog()
    private val loadMeter = LoadMeter(settings.reportLagMs, settings.slots)
    private val groupCheck = GroupCheck(eventLoop, settings) { stopAllGenerations() }
    private var order = initialOrder()
    private var state = if (settings.model == null) EngineState.IDLE else EngineState.READY
    private var highestFencingNumber = 0L
    private var lastLoad = 0
    private var arrivals = 0L
    private var slowDown = settings.slowDown
    private var failLoad = settings.failLoad

    /** The cache events that this engine publishes. */
    val cacheEvents = CacheEventLog(eventLoop, settings.cacheEventDelayMs, settings.cacheEventLoss, settings.seed)
    private val cache = PrefixCache(settings.cacheBlocks, cacheEvents::add)

    private class QueuedGeneration(val arrivalNumber: Long, val generation: Generation)

    /** Starts the periodic work. */
    fun start() {
        groupCheck.watch(order)
        sampleLoad()
        eventLoop.scheduleAtFixedRate(::sampleLoad, LOAD_SAMPLE_MS, LOAD_SAMPLE_MS, TimeUnit.MILLISECONDS)
    }

    /** Executes an order; returns null if its fencing number is refused. */
    fun order(next: Order): OrderResponse? {
        if (settings.fencing == Fencing.HONOUR && next.fencingNumber < highestFencingNumber) return null
        highestFencingNumber = maxOf(highestFencingNumber, next.fencingNumber)
        val sameAssignment = state != EngineState.FAILED && next.hasSameAssignmentAs(order)
        order = next
        groupCheck.watch(next)
        if (!sameAssignment) {
            stopAllGenerations()
            load(next)
        }
        return OrderResponse(accepted = true, bootId = settings.bootId)
    }

    /** Returns the current state. */
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

    /** Returns the load as it was one report lag ago. */
    fun loadReport(): LoadReport {
        if (settings.reportLagMs == 0L) sampleLoad()
        return loadMeter.report(System.nanoTime())
    }

    /** Returns the runs begun since the start. */
    fun runsReport(): RunsReport = RunsReport(runs.total, runs.byKey())

    /** Begins or queues a request, or refuses it through [sink] and returns null. */
    fun submit(call: CallHeaders, request: CompletionRequest, sink: TokenSink): Generation? {
        attempts.recordReceived(call.attempt)
        val generation = generation(call, request, sink)
        val refusal = refusalOf(generation)
        if (refusal != null) {
            sink.refuse(refusal)
            return null
        }
        if (running.size < settings.slots) begin(generation) else queue += QueuedGeneration(arrivals++, generation)
        return generation
    }

    /** Cancels an attempt; its slot is free on return. */
    fun cancel(attempt: String): CancelResponse {
        val generation = running[attempt]
        val queued = queue.firstOrNull { it.generation.call.attempt == attempt }
        if (generation != null) {
            release(generation)
            generation.sink.abort()
        }
        if (queued != null) {
            queue.remove(queued)
            queued.generation.sink.refuse(EngineRefusal.Cancelled)
        }
        return attempts.cancelResponse(attempt)
    }

    /** Cancels the generation of a caller that has disconnected. */
    fun abandon(generation: Generation) {
        queue.removeIf { it.generation === generation }
        if (running[generation.call.attempt] === generation) release(generation)
    }

    /** Changes the behaviour during a test. */
    fun applyChange(change: SettingsChange) {
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
        val thisLoad = ++lastLoad
        cache.clear()
        if (next.role == EngineRole.NONE) {
            state = EngineState.IDLE
            return
        }
        state = EngineState.LOADING
        eventLoop.schedule({ if (thisLoad == lastLoad) finishLoading() }, settings.loadMs, TimeUnit.MILLISECONDS)
    }

    private fun finishLoading() {
        state = if (failLoad) EngineState.FAILED else EngineState.READY
    }

    private fun generation(call: CallHeaders, request: CompletionRequest, sink: TokenSink): Generation {
        val tokens = TokenFunction(order.model, order.version, request.adapter, request.prompt)
        val length = request.maxTokens ?: settings.defaultMaxTokens
        return Generation(call, request, sink, tokens, length, eventLoop)
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
        val checksNumber = settings.fencing == Fencing.HONOUR && call.fencingNumber != null
        return when {
            order.role != EngineRole.FIRST -> EngineRefusal.NotInRole("this engine is not a first member")
            state != EngineState.READY -> EngineRefusal.NotInRole("this engine is not ready")
            call.replica != null && call.replica != order.replica ->
                EngineRefusal.NotInRole("this engine serves replica '${order.replica}', not '${call.replica}'")
            checksNumber && call.fencingNumber != order.fencingNumber ->
                EngineRefusal.NotInRole("the fencing number is ${order.fencingNumber}, not ${call.fencingNumber}")
            !groupCheck.complete -> EngineRefusal.NotInRole("the group is incomplete")
            else -> null
        }
    }

    private fun expired(generation: Generation): Boolean {
        val deadline = generation.deadlineNanos ?: return false
        return System.nanoTime() - deadline >= 0
    }

    private fun begin(generation: Generation) {
        running[generation.call.attempt] = generation
        attempts.recordBegun(generation.call.attempt)
        runs.count(requestIdOf(generation.call.attempt))
        val text = generation.request.prompt + generation.request.resume?.tokens.orEmpty().joinToString("")
        val bytes = text.toByteArray()
        val uncached = bytes.size - cache.use(bytes)
        val prefillNanos = (uncached * settings.prefillMicrosPerByte * slowDown * 1e3).toLong()
        generation.start(prefillNanos, ::intervalNanos, loadMeter::countToken) { release(generation) }
    }

    private fun intervalNanos(): Long = (settings.decodeMs * slowDown * 1e6).toLong()

    private fun release(generation: Generation) {
        generation.stop()
        running.remove(generation.call.attempt)
        while (running.size < settings.slots) {
            val next = queue.poll()?.generation ?: return
            if (expired(next)) next.sink.refuse(EngineRefusal.Expired) else begin(next)
        }
    }

    private fun stopAllGenerations() {
        val queued = queue.map { it.generation }
        queue.clear()
        val ended = running.values.toList()
        ended.forEach { release(it) }
        ended.forEach { it.sink.abort() }
        queued.forEach { it.sink.refuse(EngineRefusal.NotInRole("the engine left its role")) }
    }

    private fun sampleLoad() {
        loadMeter.sample(System.nanoTime(), running.size, queue.size)
    }
}
