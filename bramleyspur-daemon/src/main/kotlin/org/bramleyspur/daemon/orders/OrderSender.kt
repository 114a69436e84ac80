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
import org.bramleyspur.control.group.ProbeResult
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.time.afterObserved
import org.bramleyspur.daemon.http.HttpCall
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener

/** An order, encoded as an HTTP request to an engine. */
class OrderRequest(val path: String, val headers: Map<String, String>, val body: ByteArray)

/**
 * The engines' HTTP protocol, as an adapter supplies it.
 *
 * @property statePath path at which an engine reports its state
 * @property decodeReport decodes that report; the error describes the malformed field
 */
class EngineDialect(
    val encodeOrder: OrderEncoder,
    val statePath: String,
    val decodeReport: (ByteArray) -> Result<EngineReport, String>,
)

/** Encodes an order in the engines' format. */
typealias OrderEncoder = (EngineOrder) -> OrderRequest

/** Sends orders and probes to engines over HTTP, on the single thread of [group]. */
class OrderSender(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val dialect: EngineDialect,
) {
    private val clients = HashMap<String, HttpClient>()

    /** Response time in milliseconds of the last probe with a response, by address. */
    private val responseTimesMs = HashMap<String, Long>()

    /** Sends [order]; calls [onResult] once with the result and a detail for the log. */
    fun send(order: EngineOrder, onResult: (OrderResult, String) -> Unit) {
        val address = Address.parse(order.address).getOrElse {
            return onResult(OrderResult.ABSENT, "invalid engine address '${order.address}': $it")
        }
        val client = clients.getOrPut(order.address) { HttpClient(address, group) }
        val encoded = dialect.encodeOrder(order)
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, encoded.path)
        request.headers().set(HttpHeaderNames.HOST, order.address)
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, encoded.body.size)
        encoded.headers.forEach { (name, value) -> request.headers().set(name, value) }
        val exchange = Exchange(onResult = onResult)
        // Orders carry no id: on a reused connection, a repeated response to an earlier order would pass for the
        // result.
        val call = client.call(request, Unpooled.wrappedBuffer(encoded.body), newConnection = true, exchange)
        startTimeout(ORDER_TIMEOUT_MS, exchange, call)
    }

    private fun startTimeout(timeoutMs: Long, exchange: Exchange, call: HttpCall) {
        exchange.timeout = timers.afterObserved(timeoutMs) {
            call.cancel()
            exchange.finish(OrderResult.UNANSWERED, "no response within $timeoutMs ms")
        }
    }

    /** Requests the state of the engine at [engineAddress]; calls [onResult] once with the result and a detail. */
    fun probe(engineAddress: String, onResult: (ProbeResult, String) -> Unit) {
        val address = Address.parse(engineAddress).getOrElse { return onResult(ProbeResult.Unanswered, it) }
        val client = clients.getOrPut(engineAddress) { HttpClient(address, group) }
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, dialect.statePath)
        request.headers().set(HttpHeaderNames.HOST, engineAddress)
        val sentAtMs = timers.nowMs()
        val exchange = Exchange({ onResult(ProbeResult.Refused, it) }) { result, detail ->
            if (result != OrderResult.UNANSWERED) responseTimesMs[engineAddress] = timers.nowMs() - sentAtMs
            onProbeEnd(result, detail, onResult)
        }
        val call = client.call(request, Unpooled.EMPTY_BUFFER, newConnection = false, exchange)
        startTimeout(probeTimeoutMs(engineAddress), exchange, call)
    }

    /** Grows with the last response time of the engine; the maximum for an engine that has not responded yet. */
    private fun probeTimeoutMs(address: String): Long = responseTimesMs[address]
        ?.let { (MIN_PROBE_TIMEOUT_MS + it * RESPONSE_TIME_FACTOR).coerceAtMost(MAX_PROBE_TIMEOUT_MS) }
        ?: MAX_PROBE_TIMEOUT_MS

    private fun onProbeEnd(result: OrderResult, detail: String, onResult: (ProbeResult, String) -> Unit) {
        if (result != OrderResult.DONE) return onResult(ProbeResult.Unanswered, detail)
        dialect.decodeReport(detail.encodeToByteArray())
            .fold({ onResult(ProbeResult.Answered(it), "") }, { onResult(ProbeResult.Unanswered, it) })
    }

    /** Closes the connections to engines that are not in [addresses]. */
    fun closeAllExcept(addresses: Set<String>) {
        val removed = clients.keys - addresses
        removed.forEach { clients.remove(it)?.close() }
        responseTimesMs.keys.retainAll(addresses)
    }

    /**
     * One HTTP exchange; [onResult] receives the body of the response, or else a description, as the detail. For an
     * order, a refused connection is an order without a response: the network path may be broken, so it is no proof
     * that the engine has left its group.
     */
    private class Exchange(
        private val onRefused: ((String) -> Unit)? = null,
        private val onResult: (OrderResult, String) -> Unit,
    ) : HttpListener {
        var timeout: TimerHandle? = null
        private var ended = false
        private var status = 0
        private val body = StringBuilder()

        fun finish(result: OrderResult, detail: String) = end { onResult(result, detail) }

        private fun end(notify: () -> Unit) {
            if (ended) return
            ended = true
            timeout?.cancel()
            notify()
        }

        override fun onHead(status: Int, headers: HttpHeaders) {
            this.status = status
        }

        override fun onData(data: ByteBuf) {
            if (body.length < MAX_BODY_CHARS) body.append(data.toString(Charsets.UTF_8))
        }

        override fun onEnd() = finish(resultOf(status), body.ifEmpty { "status $status" }.toString())

        override fun onRefused(message: String) =
            end { onRefused?.invoke(message) ?: onResult(OrderResult.UNANSWERED, message) }

        override fun onFailure(failure: HttpFailure, message: String) = finish(OrderResult.UNANSWERED, message)
    }

    private companion object {
        /** Engines respond within milliseconds; an order without a response is retried and may take effect late. */
        const val ORDER_TIMEOUT_MS = 1_000L

        /** Many times the round trip between data centres. */
        const val MAX_PROBE_TIMEOUT_MS = 200L

        /** Longer than a pause of this process or of the engine; a retransmitted packet takes longer still. */
        const val MIN_PROBE_TIMEOUT_MS = 80L

        /** Leaves room for a new connection, on which a probe takes twice as long as on an open one. */
        const val RESPONSE_TIME_FACTOR = 4
        const val STATUS_OK = 200
        const val STATUS_MISDIRECTED = 421

        /** A state report has some hundred characters. */
        const val MAX_BODY_CHARS = 16 * 1024

        fun resultOf(status: Int): OrderResult = when (status) {
            STATUS_OK -> OrderResult.DONE
            in 201..299 -> OrderResult.ACCEPTED
            STATUS_MISDIRECTED -> OrderResult.ABSENT
            else -> OrderResult.REFUSED
        }
    }
}
