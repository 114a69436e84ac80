package org.bramleyspur.daemon.forward

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService

/**
 * Tries connections to backend servers that control asks about, to tell a dead one from one that only control cannot
 * reach. Used by the one thread of [group].
 *
 * @property addressOf `host:port` of a backend server by id; null for an unknown one
 */
internal class Reachability(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val addressOf: (id: String) -> String?,
) {
    private class Result(val reachable: Boolean, val atMs: Long)

    private val results = HashMap<String, Result>()
    private val startedMs = HashMap<String, Long>()

    /** Starts a connection to each of [ids] that has none in progress and no fresh result. */
    fun check(ids: List<String>) {
        val now = timers.nowMs()
        results.values.removeIf { now - it.atMs > RESULT_LIFE_MS }
        startedMs.values.removeIf { now - it > CHECK_GAP_MS }
        ids.filter { it !in startedMs }.forEach { connect(it) }
    }

    /** Backend servers that accepted a connection a short time ago. */
    fun reachable(): List<String> = fresh().filterValues { it.reachable }.keys.toList()

    /** Backend servers that accepted none. */
    fun unreachable(): List<String> = fresh().filterValues { !it.reachable }.keys.toList()

    private fun fresh() = results.filterValues { timers.nowMs() - it.atMs <= RESULT_LIFE_MS }

    private fun connect(id: String) {
        val address = addressOf(id)?.let { Address.parse(it).component1() } ?: return
        startedMs[id] = timers.nowMs()
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(ChannelInboundHandlerAdapter())
            .connect(address.toSocketAddress())
            .addListener { future ->
                results[id] = Result(future.isSuccess, timers.nowMs())
                val channel: Channel = (future as ChannelFuture).channel()
                channel.close()
            }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val CHECK_GAP_MS = 600L
        const val RESULT_LIFE_MS = 1_000L
    }
}
