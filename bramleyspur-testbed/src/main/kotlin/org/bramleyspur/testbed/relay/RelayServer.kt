/*
 * The relay: several links and an HTTP interface that injects and ends faults on them.
 */
package org.bramleyspur.testbed.relay

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.testbed.http.RequestHandler
import org.bramleyspur.testbed.http.aggregator
import org.bramleyspur.testbed.http.boundPort
import org.bramleyspur.testbed.http.listenHttp
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.respondError
import org.bramleyspur.testbed.http.respondJson
import org.bramleyspur.testbed.http.testbedJson
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Listen address and target address of a link. */
data class LinkSettings(val name: String, val listen: InetSocketAddress, val target: InetSocketAddress) {
    companion object {
        /** Parses `NAME=LISTEN=TARGET`. */
        fun parse(text: String): LinkSettings {
            val parts = text.split('=')
            require(parts.size == 3) {
                "link '$text' is not NAME=LISTEN=TARGET; give it like a=127.0.0.1:1=127.0.0.1:2"
            }
            return LinkSettings(parts[0], parseAddress(parts[1]), parseAddress(parts[2]))
        }
    }
}

/** Action of a command on a link. */
@Serializable
internal enum class LinkAction {
    @SerialName("delay")
    DELAY,

    @SerialName("drop")
    DROP,

    @SerialName("cut")
    CUT,

    @SerialName("restore")
    RESTORE,
}

/** Body of `POST /links/NAME`. */
@Serializable
internal data class LinkCommand(
    val command: LinkAction,
    val direction: Direction = Direction.BOTH,
    @SerialName("delay_ms") val delayMs: Long = 0,
    @SerialName("jitter_ms") val jitterMs: Long = 0,
)

/** Links and their admin interface on one event loop; [seed] determines the jitter of delays. */
class RelayServer(admin: InetSocketAddress, settings: List<LinkSettings>, seed: Long) : AutoCloseable {
    private val eventLoops = NioEventLoopGroup(1)
    private val links = settings.map { Link(it.name, eventLoops, it.listen, it.target, seed) }
    private val channel = listenHttp(eventLoops, admin) { it.addLast(aggregator(), AdminHandler(links)) }

    /** Port of the admin interface. */
    val adminPort: Int get() = channel.boundPort

    /** Returns the port that the link [name] listens on. */
    fun port(name: String): Int = links.first { it.name == name }.port

    /** Waits until the admin listener is closed. */
    fun await() {
        channel.closeFuture().sync()
    }

    override fun close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }
}

private class AdminHandler(private val links: List<Link>) : RequestHandler() {
    override fun handle(context: ChannelHandlerContext, request: FullHttpRequest) {
        val name = request.uri().removePrefix("/links/")
        val selected = links.filter { name == "*" || name == it.name }
        when {
            request.method() == HttpMethod.GET && request.uri() == "/links" -> report(context)
            request.method() != HttpMethod.POST || selected.isEmpty() ->
                context.respondError(404, "not_found", "no link '$name'; the links are ${links.map { it.name }}")
            else -> command(context, selected, testbedJson.decodeBounded(request.content().toString(Charsets.UTF_8)))
        }
    }

    private fun command(context: ChannelHandlerContext, selected: List<Link>, command: LinkCommand) {
        var pendingLinks = selected.size
        val onDone = { if (--pendingLinks == 0) report(context) }
        for (link in selected) {
            when (command.command) {
                LinkAction.DELAY -> link.delay(command.direction, command.delayMs, command.jitterMs)
                LinkAction.DROP -> link.drop(command.direction)
                LinkAction.CUT -> link.cut()
                LinkAction.RESTORE -> link.restore(onDone)
            }
            if (command.command != LinkAction.RESTORE) onDone()
        }
    }

    private fun report(context: ChannelHandlerContext) {
        context.respondJson(testbedJson.encodeToString(links.map { it.describe() }))
    }
}
