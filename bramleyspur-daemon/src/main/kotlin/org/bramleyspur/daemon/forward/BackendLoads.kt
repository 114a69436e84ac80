package org.bramleyspur.daemon.forward

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.http.HttpClient
import org.bramleyspur.traffic.forward.Attribution
import org.bramleyspur.traffic.forward.attributionOf
import org.bramleyspur.traffic.load.ServerLoad
import kotlin.math.exp

/**
 * Load and health of one backend server as seen by this entry. Confined to the traffic thread.
 *
 * @property client HTTP connections to the backend server
 */
internal class BackendLoad(val id: String, val address: String, val client: HttpClient) {
    /** Requests of this entry that are in flight. */
    var inFlight = 0

    /** Prompt tokens of this entry's requests that have not received their first event. */
    var pendingPrefillTokens = 0L

    /** Prompt tokens of all this entry's requests in flight. */
    var contextTokens = 0L

    /** Streams of this entry that have received their first event. */
    var activeStreams = 0

    /** Those of [activeStreams] from which this entry reads nothing, since their callers accept no more data. */
    var pausedStreams = 0

    /** Time at which reading of a paused stream was last resumed; 0 for never. */
    var lastReadResumedMs = 0L

    /** Longest predicted time between events, without the observed slowdown; null before the first request. */
    var longestEventIntervalMs: Double? = null

    /** Time of the last data received; 0 for never. */
    var lastResponseMs = 0L

    /** Time at which it was last found unresponsive; 0 for never. */
    var lastUnresponsiveMs = 0L

    /** Time until which other backend servers are preferred. */
    var suspectUntilMs = 0L

    /** Moving average of the observed time between events divided by the predicted one; above 1 for a slow server. */
    var slowdown = 1.0
        private set

    private var firstEventExcessMs = 0.0
    private var firstEventAtMs = 0L
    private var failureScore = 0.0
    private var unresponsiveCount = 0
    private var reportedRunning = 0
    private var inFlightAtReport = 0
    private var reportedAtMs = 0L

    /** This entry's work at the backend server. */
    val work: ServerLoad get() = ServerLoad(inFlight, pendingPrefillTokens, contextTokens)

    /** Records a load report: [running] requests of all entries in the batch and the queue of the backend server. */
    fun onLoadReport(running: Int, nowMs: Long) {
        reportedRunning = running
        inFlightAtReport = inFlight
        reportedAtMs = nowMs
    }

    /** Estimated number of requests of all entries: the last report, corrected by this entry's changes since then. */
    fun estimatedRunning(nowMs: Long): Int {
        if (nowMs - reportedAtMs > REPORT_VALIDITY_MS) return inFlight
        return maxOf(inFlight, reportedRunning + inFlight - inFlightAtReport)
    }

    /**
     * Records that response data arrived; returns how long the server had sent nothing if it was found unresponsive in
     * that time, null otherwise.
     */
    fun onResponseData(nowMs: Long): Long? {
        val silentSinceMs = if (lastResponseMs > 0) lastResponseMs else lastUnresponsiveMs
        val silentMs = if (lastUnresponsiveMs > lastResponseMs) nowMs - silentSinceMs else null
        lastResponseMs = nowMs
        if (failureScore < SUSPECT_FAILURE_SCORE) suspectUntilMs = 0
        return silentMs
    }

    /** Records an event that arrived [intervalMs] after the previous one, where [predictedMs] was predicted. */
    fun onEventInterval(intervalMs: Long, predictedMs: Double) {
        val sample = (intervalMs / predictedMs).coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN)
        slowdown += (sample - slowdown) * SLOWDOWN_WEIGHT
    }

    /**
     * Moving average of the observed time to the first event minus the predicted one, in milliseconds. It fades after a
     * time without first events: a server that is expected to be late receives no requests that could show otherwise.
     */
    fun firstEventExcessMs(nowMs: Long): Double {
        val fadingMs = (nowMs - firstEventAtMs - FIRST_EVENT_VALIDITY_MS).coerceAtLeast(0)
        return firstEventExcessMs * exp(-fadingMs / FIRST_EVENT_DECAY_MS)
    }

    /** Records a first event that arrived after [latencyMs], where [predictedMs] was predicted without the excess. */
    fun onFirstEvent(latencyMs: Long, predictedMs: Double, nowMs: Long) {
        val average = firstEventExcessMs(nowMs)
        firstEventExcessMs = average + (latencyMs - predictedMs - average) * FIRST_EVENT_WEIGHT
        firstEventAtMs = nowMs
    }

    /** Records a complete response. */
    fun onSuccess() {
        failureScore *= FAILURE_DECAY
    }

    /** Records a failure; several in close succession make the backend server suspect for [SUSPECT_MS]. */
    fun onFailure(nowMs: Long) {
        failureScore = failureScore * FAILURE_DECAY + 1
        if (failureScore >= SUSPECT_FAILURE_SCORE) suspectUntilMs = nowMs + SUSPECT_MS
    }

    /**
     * Whether active streams that are read receive no events although the predicted time between events has passed more
     * than once. The limit is longer for a backend server with an observed slowdown.
     */
    fun isStalled(nowMs: Long): Boolean = activeStreams > pausedStreams && lastUnresponsiveMs <= lastResponseMs &&
        nowMs - maxOf(lastResponseMs, lastReadResumedMs) > stallTimeoutMs() * maxOf(1.0, slowdown)

    private fun stallTimeoutMs(): Double =
        longestEventIntervalMs?.let { maxOf(MIN_STALL_TIMEOUT_MS, STALL_INTERVALS * it) } ?: DEFAULT_STALL_TIMEOUT_MS

    /** Records that it accepted no connection or stopped responding; repeated occurrences double the suspect time. */
    fun onUnresponsive(nowMs: Long) {
        unresponsiveCount =
            if (lastResponseMs > lastUnresponsiveMs) 0 else minOf(unresponsiveCount + 1, MAX_SUSPECT_DOUBLINGS)
        lastUnresponsiveMs = nowMs
        suspectUntilMs = nowMs + (SUSPECT_MS shl unresponsiveCount)
    }

    private companion object {
        /** Requests of a batch end within about a second, so an older report is out of date. */
        const val REPORT_VALIDITY_MS = 1_000L
        const val FAILURE_DECAY = 0.75

        /** Averages over about one second of the events of a request. */
        const val SLOWDOWN_WEIGHT = 0.03

        /** Averages over about five first events, whose latency varies more than the time between events. */
        const val FIRST_EVENT_WEIGHT = 0.2
        const val FIRST_EVENT_DECAY_MS = 2_000.0

        /** First events arrive more often than this, unless requests are kept from the server. */
        const val FIRST_EVENT_VALIDITY_MS = 1_000L

        /** Prefills of other requests prolong the time between events; it is rarely below half the predicted one. */
        const val MIN_SLOWDOWN = 0.5
        const val MAX_SLOWDOWN = 10.0

        /** Two failures in close succession stay below this score, three reach it. */
        const val SUSPECT_FAILURE_SCORE = 2.0

        /** Time after which a suspect backend server is tried again, at the cost of one attempt. */
        const val SUSPECT_MS = 1_500L

        /** Three steps of a full batch with prefills take about 200 ms. */
        const val DEFAULT_STALL_TIMEOUT_MS = 220.0

        /** The predicted time between events excludes the delays of the network and of this process. */
        const val STALL_INTERVALS = 1.5
        const val MIN_STALL_TIMEOUT_MS = 120.0

        /** A backend server that never responds is tried every 12 s. */
        const val MAX_SUSPECT_DOUBLINGS = 3
    }
}

/** Load and health of the backend servers that this entry uses. Confined to the traffic thread. */
internal class BackendLoads(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val headers: ForwardHeaders,
) {
    private val loads = HashMap<String, BackendLoad>()

    /** The load of the backend server of [announcement]; null when its address is malformed. */
    fun loadOf(announcement: Announcement): BackendLoad? {
        val existing = loads[announcement.id]
        if (existing != null && existing.address == announcement.address) return existing
        val address = Address.parse(announcement.address).component1() ?: return null
        existing?.client?.close()
        val client = HttpClient(address, group, connectTimeoutMs = CONNECT_TIMEOUT_MS, attribute = ::attribute)
        return BackendLoad(announcement.id, announcement.address, client).also { loads[announcement.id] = it }
    }

    private fun attribute(request: HttpRequest, response: HttpHeaders, first: Boolean): Attribution = attributionOf(
        requestId = request.headers().get(headers.attemptId),
        responseId = response.get(headers.attemptId),
        sealed = response.contains(headers.seal),
        first = first,
    )

    /** Work of this entry at engines by id, without those at which it has none. */
    fun engineWork(): Map<String, ServerLoad> =
        loads.values.filter { it.inFlight > 0 && it.contextTokens > 0 }.associate { it.id to it.work }

    /** Ids of the backend servers that sent response data within the last [withinMs]. */
    fun responding(withinMs: Long): List<String> {
        val now = timers.nowMs()
        return loads.values.filter { it.lastResponseMs > 0 && now - it.lastResponseMs <= withinMs }.map { it.id }
    }

    /** Ids of the backend servers found unresponsive within the last [withinMs] that have sent nothing since. */
    fun unresponsive(withinMs: Long): List<String> {
        val now = timers.nowMs()
        return loads.values
            .filter { it.lastUnresponsiveMs > it.lastResponseMs && now - it.lastUnresponsiveMs <= withinMs }
            .map { it.id }
    }

    /** Marks the backend servers whose streams have stalled as unresponsive; returns those newly marked. */
    fun markStalled(): List<BackendLoad> {
        val now = timers.nowMs()
        return loads.values.filter { it.isStalled(now) }.onEach { it.onUnresponsive(now) }
    }

    /** Removes the backend servers that are not in [ids] and have no request in flight. */
    fun closeAllExcept(ids: Set<String>) {
        val unlisted = loads.values.filter { it.id !in ids && it.inFlight == 0 }
        unlisted.forEach { loads.remove(it.id)?.client?.close() }
    }

    private companion object {
        /** Many times the round trip between data centres; after it, another backend server is tried. */
        const val CONNECT_TIMEOUT_MS = 300
    }
}
