package org.bramleyspur.testbed.engine

import io.netty.channel.EventLoop
import java.util.Random
import java.util.concurrent.TimeUnit

/** Published cache events kept for late subscribers. */
private const val KEPT_EVENTS = 10_000

/**
 * Cache events in order of sequence, published [delayMs] late; an event is lost with probability [loss], which leaves
 * a gap in the sequence numbers. All calls are on [loop].
 */
internal class CacheEventLog(
    private val loop: EventLoop,
    private val delayMs: Long,
    private val loss: Double,
    seed: Long,
) {
    private val random = Random(seed)
    private val published = ArrayDeque<CacheEvent>()
    private val subscribers = LinkedHashSet<(CacheEvent) -> Unit>()
    private var sequence = 0L

    /** Publishes an event after the delay, unless it is lost. */
    fun add(kind: String, prefix: String) {
        sequence++
        if (random.nextDouble() < loss) return
        val event = CacheEvent(sequence, kind, prefix)
        loop.schedule({ publish(event) }, delayMs, TimeUnit.MILLISECONDS)
    }

    /** Sends kept events after sequence number [after] and all later ones to [subscriber] until [unsubscribe]. */
    fun subscribe(after: Long, subscriber: (CacheEvent) -> Unit) {
        published.filter { it.sequence > after }.forEach(subscriber)
        subscribers += subscriber
    }

    /** Ends a subscription. */
    fun unsubscribe(subscriber: (CacheEvent) -> Unit) {
        subscribers -= subscriber
    }

    private fun publish(event: CacheEvent) {
        published.addLast(event)
        if (published.size > KEPT_EVENTS) published.removeFirst()
        subscribers.forEach { it(event) }
    }
}
