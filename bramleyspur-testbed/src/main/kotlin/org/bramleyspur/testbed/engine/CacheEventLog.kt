package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.Random
import java.util.concurrent.TimeUnit

/** Number of published cache events that are kept for late subscribers. */
private const val MAX_KEPT_EVENTS = 10_000

/**
 * Publishes cache events in order of their sequence numbers, delayed by [delayMs]. An event is lost with probability
 * [lossProbability], which leaves a gap in the sequence numbers. Must be called on [eventLoop] only.
 */
internal class CacheEventLog(
    private val eventLoop: EventLoop,
    private val delayMs: Long,
    private val lossProbability: Double,
    seed: Long,
) {
    private val random = Random(seed)
    private val published = ArrayDeque<CacheEvent>()
    private val subscribers = LinkedHashSet<(CacheEvent) -> Unit>()
    private var sequence = 0L

    /** Publishes an event after the delay, unless it is lost. */
    fun add(kind: String, prefix: String) {
        sequence++
        if (random.nextDouble() < lossProbability) return
        val event = CacheEvent(sequence, kind, prefix)
        eventLoop.schedule({ publish(event) }, delayMs, TimeUnit.MILLISECONDS)
    }

    /** Sends the kept events after sequence number [after] and all new ones to [subscriber] until [unsubscribe]. */
    fun subscribe(after: Long, subscriber: (CacheEvent) -> Unit) {
        published.filter { it.sequence > after }.forEach(subscriber)
        subscribers += subscriber
    }

    fun unsubscribe(subscriber: (CacheEvent) -> Unit) {
        subscribers -= subscriber
    }

    private fun publish(event: CacheEvent) {
        published.addLast(event)
        if (published.size > MAX_KEPT_EVENTS) published.removeFirst()
        subscribers.forEach { it(event) }
    }
}
