package org.bramleyspur.daemon.forward

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import org.bramleyspur.core.backend.Announcement
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.http.HttpClient

/**
 * What this entry knows of the load and the health of one backend server. Used by the traffic thread.
 *
 * @property client its connections
 */
internal class BackendLoad(val id: String, val address: String, val client: HttpClient) {
    /** Requests of this entry that it has. */
    var inFlight = 0

    /** Prompt tokens of this entry's requests whose first event has not come. */
    var unreadTokens = 0L

    /** Prompt tokens of this entry's requests. */
    var contextTokens = 0L

    /** Streams of this entry that have begun. */
    var writing = 0

    /** Longest predicted time in ms between events, without the observed pace; null while nothing was sent. */
    var longestPassMs: Double? = null

    /** When it last sent anything; 0 for never. */
    var answeredMs = 0L

    /** When it was last seen not to answer; 0 for never. */
    var silentMs = 0L

    /** Until when other backend servers are preferred. */
    var suspectUntilMs = 0L

    /** Observed time between events over the predicted one; above 1 for a slow one. */
    var pace = 1.0
        private set

    /** Mean of the observed time to the first event less the predicted one, in milliseconds. */
    var firstExcessMs = 0.0
        private set
    private var failures = 0.0
    private var silences = 0
    private var reported = 0
    private var reportedInFlight = 0
    private var reportedMs = 0L

    /** Takes a load report of an answer at [nowMs]: [running] requests in its batch and queue, of all entries. */
    fun onReport(running: Int, nowMs: Long) {
        reported = running
        reportedInFlight = inFlight
        reportedMs = nowMs
    }

    /** Requests that it has, of all entries, as far as this entry can tell. */
    fun running(nowMs: Long): Int {
        if (nowMs - reportedMs > REPORT_LIFE_MS) return inFlight
        return maxOf(inFlight, reported + inFlight - reportedInFlight)
    }

    /** Counts bytes of an answer. */
    fun onAnswering(nowMs: Long) {
        answeredMs = nowMs
        if (failures < SUSPECT_FAILURES) suspectUntilMs = 0
    }

    /** Counts an event that came [gapMs] after the one before it, where [predictedMs] was predicted. */
    fun onPass(gapMs: Long, predictedMs: Double) {
        val sample = (gapMs / predictedMs).coerceIn(MIN_PACE, MAX_PACE)
        pace += (sample - pace) * PACE_WEIGHT
    }

    /** Counts a first event that came after [tookMs], where [predictedMs] was predicted without the excess. */
    fun onFirst(tookMs: Long, predictedMs: Double) {
        firstExcessMs += (tookMs - predictedMs - firstExcessMs) * FIRST_WEIGHT
    }

    /** Counts a complete answer. */
    fun onServed() {
        failures *= FAILURE_DECAY
    }

    /** Counts a failure; several in a row make it suspect for a while. */
    fun onFailure(nowMs: Long) {
        failures = failures * FAILURE_DECAY + 1
        if (failures >= SUSPECT_FAILURES) suspectUntilMs = nowMs + SUSPECT_MS
    }

    /**
     * Whether streams that have begun get no event, though several passes of the batch should have ended. A slow one is
     * given its observed pace.
     */
    fun isQuiet(nowMs: Long): Boolean =
        writing > 0 && silentMs <= answeredMs && nowMs - answeredMs > quietLimitMs() * maxOf(1.0, pace)

    private fun quietLimitMs(): Double = longestPassMs?.let { maxOf(QUIET_MIN_MS, QUIET_PASSES * it) } ?: QUIET_MS

    /** It accepted no connection or stopped answering. */
    fun onSilent(nowMs: Long) {
        silences = if (answeredMs > silentMs) 0 else minOf(silences + 1, MAX_DOUBLINGS)
        silentMs = nowMs
        suspectUntilMs = nowMs + (SUSPECT_MS shl silences)
    }

    private companion object {
        /** A report describes a batch of requests that end within about a second. */
        const val REPORT_LIFE_MS = 1_000L
        const val FAILURE_DECAY = 0.75

        /** About a second of the events of one request. */
        const val PACE_WEIGHT = 0.03

        /** Five first events; their times vary more than those between events. */
        const val FIRST_WEIGHT = 0.2

        /** Pauses for the prompts of others make gaps longer than predicted; few gaps are below half of it. */
        const val MIN_PACE = 0.5
        const val MAX_PACE = 10.0

        /** Two failures in close succession stay below, three reach it. */
        const val SUSPECT_FAILURES = 2.0

        /** A suspect is tried again after this time; it then costs one attempt. */
        const val SUSPECT_MS = 1_500L

        /** Above a pass of three steps of a full batch that also reads prompts, about 200 ms. */
        const val QUIET_MS = 220.0

        /** A pass is predicted without the delays of the network and of this process. */
        const val QUIET_PASSES = 1.5
        const val QUIET_MIN_MS = 120.0

        /** One that never answers is tried every 12 s. */
        const val MAX_DOUBLINGS = 3
    }
}

/** The backend servers that this entry has sent to. Used by the traffic thread. */
internal class BackendLoads(
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val headers: ForwardHeaders,
) {
    private val loads = HashMap<String, BackendLoad>()

    /** The load of the backend server of [announcement]; null when its address cannot be read. */
    fun of(announcement: Announcement): BackendLoad? {
        val known = loads[announcement.id]
        if (known != null && known.address == announcement.address) return known
        val address = Address.parse(announcement.address).component1() ?: return null
        known?.client?.close()
        val client = HttpClient(address, group, connectTimeoutMs = CONNECT_TIMEOUT_MS, belongs = ::belongs)
        return BackendLoad(announcement.id, announcement.address, client).also { loads[announcement.id] = it }
    }

    /** Backend servers echo the attempt's id, except in some refusals, which carry no seal. */
    private fun belongs(request: HttpRequest, response: HttpHeaders): Boolean {
        val echoed = response.get(headers.attemptId) ?: return !response.contains(headers.seal)
        return echoed == request.headers().get(headers.attemptId)
    }

    /** Ids of the backend servers that have answered within [withinMs]. */
    fun answering(withinMs: Long): List<String> {
        val now = timers.nowMs()
        return loads.values.filter { it.answeredMs > 0 && now - it.answeredMs <= withinMs }.map { it.id }
    }

    /** Ids of the backend servers that were seen not to answer within [withinMs], and have not answered since. */
    fun silent(withinMs: Long): List<String> {
        val now = timers.nowMs()
        return loads.values.filter { it.silentMs > it.answeredMs && now - it.silentMs <= withinMs }.map { it.id }
    }

    /** Marks the backend servers whose streams have stopped; returns those that were not marked before. */
    fun noteQuiet(): List<BackendLoad> {
        val now = timers.nowMs()
        return loads.values.filter { it.isQuiet(now) }.onEach { it.onSilent(now) }
    }

    /** Closes the connections to backend servers that are not in [ids]. */
    fun keepOnly(ids: Set<String>) {
        val gone = loads.values.filter { it.id !in ids && it.inFlight == 0 }
        gone.forEach { loads.remove(it.id)?.client?.close() }
    }

    private companion object {
        /** Many round trips between data centres; then another backend server is tried. */
        const val CONNECT_TIMEOUT_MS = 300
    }
}
