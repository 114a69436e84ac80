package org.bramleyspur.daemon.orders

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.control.group.EngineOrder
import org.bramleyspur.control.group.EngineReport
import org.bramleyspur.control.group.OrderResult
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener

/** An order as an HTTP request to the engine. */
class OrderRequest(val path: String, val headers: Map<String, String>, val body: ByteArray)

/**
 * How control speaks to engines.
 *
 * @property statePath path at which an engine tells its state
 * @property decodeReport reads that state; the error says what is wrong with it
 */
class EngineDialect(
    val encodeOrder: OrderEncoder,
    val statePath: String,
    val decodeReport: (ByteArray) -> Result<EngineReport, String>,
)

/** Writes an order in the engines' format. */
typealias OrderEncoder = (EngineOrder) -> OrderRequest

/** Sends orders to engines over HTTP, on the one thread of [group]. */
class OrderSender(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val dialect: EngineDialect,
) {
    private val clients = HashMap<String, HttpClient>()

    /** Time in milliseconds that the last answer from each address took. */
    private val answerTimesMs = HashMap<String, Long>()

    /** Sends [order]; [onResult] runs once with the result and a text for the log. */
    fun send(order: EngineOrder, onResult: (OrderResult, String) -> Unit) {
        val address = Address.parse(order.address).getOrElse {
            return onResult(OrderResult.ABSENT, "'${order.address}' is not an address: $it")
        }
        val client = clients.getOrPut(order.address) { HttpClient(address, group) }
        val message = dialect.encodeOrder(order)
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, message.path)
        request.headers().set(HttpHeaderNames.HOST, order.address)
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, message.body.size)
        message.headers.forEach { (name, value) -> request.headers().set(name, value) }
        val exchange = Exchange(onResult)
        val call = client.call(request, Unpooled.wrappedBuffer(message.body), fresh = false, exchange)
        endAfter(ANSWER_TIMEOUT_MS, exchange, call)
    }

    private fun endAfter(limitMs: Long, exchange: Exchange, call: HttpCall) {
        exchange.timeout = timers.after(limitMs) {
            call.cancel()
            exchange.end(OrderResult.UNANSWERED, "no answer within $limitMs ms")
        }
    }

    /** Asks the engine at [engineAddress] for its state; [onResult] runs once, with null when it did not answer. */
    fun probe(engineAddress: String, onResult: (EngineReport?, String) -> Unit) {
        val address = Address.parse(engineAddress).getOrElse { return onResult(null, it) }
        val client = clients.getOrPut(engineAddress) { HttpClient(address, group) }
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, dialect.statePath)
        request.headers().set(HttpHeaderNames.HOST, engineAddress)
        val sentMs = timers.nowMs()
        val exchange = Exchange { result, text ->
            if (result != OrderResult.UNANSWERED) answerTimesMs[engineAddress] = timers.nowMs() - sentMs
            onProbeAnswer(result, text, onResult)
        }
        val call = client.call(request, Unpooled.EMPTY_BUFFER, fresh = false, exchange)
        endAfter(probeLimitMs(engineAddress), exchange, call)
    }

    /** Longer for an engine whose last answer took longer; the longest for one that has not answered yet. */
    private fun probeLimitMs(address: String): Long = answerTimesMs[address]
        ?.let { (MIN_PROBE_TIMEOUT_MS + it * ANSWER_TIMES).coerceAtMost(PROBE_TIMEOUT_MS) }
        ?: PROBE_TIMEOUT_MS

    private fun onProbeAnswer(result: OrderResult, text: String, onResult: (EngineReport?, String) -> Unit) {
        if (result != OrderResult.DONE) return onResult(null, text)
        dialect.decodeReport(text.encodeToByteArray()).fold({ onResult(it, "") }, { onResult(null, it) })
    }

    /** Forgets the connections to engines that are not in [addresses]. */
    fun keepOnly(addresses: Set<String>) {
        val gone = clients.keys - addresses
        gone.forEach { clients.remove(it)?.close() }
        answerTimesMs.keys.retainAll(addresses)
    }

    private class Exchange(private val onResult: (OrderResult, String) -> Unit) : HttpListener {
        var timeout: TimerHandle? = null
        private var ended = false
        private var status = 0
        private val body = StringBuilder()

        fun end(result: OrderResult, text: String) {
            if (ended) return
            ended = true
            timeout?.cancel()
            onResult(result, text)
        }

        override fun onHead(status: Int, headers: HttpHeaders) {
            this.status = status
        }

        override fun onData(data: ByteBuf) {
            if (body.length < MAX_BODY_CHARS) body.append(data.toString(Charsets.UTF_8))
        }

        override fun onEnd() = end(resultOf(status), body.ifEmpty { "status $status" }.toString())

        /** A connection that is refused or times out says nothing about the engine: the path to it may be cut. */
        override fun onFailure(failure: HttpFailure, message: String) = end(OrderResult.UNANSWERED, message)
    }

    private companion object {
        /** An engine answers within some ms; an unanswered order is repeated and may act late. */
        const val ANSWER_TIMEOUT_MS = 1_000L

        /** Many times a round trip between data centres. */
        const val PROBE_TIMEOUT_MS = 200L

        /** Above a pause of this process or of the engine; a lost packet takes longer. */
        const val MIN_PROBE_TIMEOUT_MS = 80L

        /** A question on a new connection takes twice as long as one on a kept connection. */
        const val ANSWER_TIMES = 4
        const val STATUS_OK = 200
        const val MISDIRECTED = 421

        /** A state has some hundred characters. */
        const val MAX_BODY_CHARS = 16 * 1024

        fun resultOf(status: Int): OrderResult = when (status) {
            STATUS_OK -> OrderResult.DONE
            in 201..299 -> OrderResult.ACCEPTED
            MISDIRECTED -> OrderResult.ABSENT
            else -> OrderResult.REFUSED
        }
    }
}
