package org.bramleyspur.daemon.engine

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.bramleyspur.core.json.decodeBounded
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.entry.CacheEventBuffer
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpCallStarter
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener
import org.bramleyspur.daemon.http.SseParser
import org.bramleyspur.protocol.CacheEvent

private val logger = KotlinLogging.logger {}

@Serializable
private data class EngineCacheEvent(val sequence: Long, val kind: String, val prefix: String)

/** Reads the cache event stream of an engine on the traffic thread and reopens it when it ends. */
class CacheEventReader(
    private val address: Address,
    private val http: HttpCallStarter,
    private val timers: TimerService,
    private val buffer: CacheEventBuffer,
) {
    /** Opens the event stream after the last known sequence number. */
    fun start() {
        val path = "/admin/cache-events?after=${buffer.lastSequence()}"
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path)
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        val listener = EventStreamListener()
        listener.call = http(request, Unpooled.EMPTY_BUFFER, true, listener)
    }

    private fun retry() {
        timers.after(RETRY_DELAY_MS) { start() }
    }

    private inner class EventStreamListener : HttpListener {
        var call: HttpCall? = null
        private val events = SseParser(::onEvent)

        override fun onHead(status: Int, headers: HttpHeaders) {
            if (status != OK) breakOff()
        }

        override fun onData(data: ByteBuf) {
            events.feed(data)
            if (events.overflowed) breakOff()
        }

        /** Closes the connection, whose response may not end. */
        private fun breakOff() {
            call?.cancel()
            retry()
        }

        override fun onEnd() = retry()

        override fun onFailure(failure: HttpFailure, message: String) = retry()

        private fun onEvent(text: String) {
            try {
                val event = engineJson.decodeBounded(EngineCacheEvent.serializer(), text)
                buffer.add(event.toMessage())
            } catch (e: SerializationException) {
                logger.debug { "ignoring unreadable cache event: ${e.message}" }
            } catch (e: NumberFormatException) {
                logger.debug { "ignoring cache event with a malformed prefix: ${e.message}" }
            }
        }

        private fun EngineCacheEvent.toMessage(): CacheEvent = CacheEvent
            .newBuilder()
            .setSequence(sequence)
            .setStored(kind == "stored")
            .setPrefix(prefix.toULong(HEXADECIMAL).toLong())
            .build()
    }

    private companion object {
        const val RETRY_DELAY_MS = 1_000L
        const val OK = 200
        const val HEXADECIMAL = 16
    }
}
