package org.bramleyspur.traffic.model.forward

/** Counts of tries: [asked] are first ones, [returned] the others, and [refusedAgain] are refusals of the latter. */
internal class Counts {
    var asked = 0
    var returned = 0
    var inTime = 0
    var late = 0
    var refusedOnce = 0
    var refusedAgain = 0
}

/** Results of a play, by class and by client account. A first event after its class's target is late. */
internal class Results {
    val byClass = sortedMapOf<String, Counts>()
    val byAccount = sortedMapOf<String, Counts>()
    val total = Counts()

    /** Requests that an engine rejected since its batch and its queue were full. */
    var rejected = 0
        private set
    private val inFlightSpread = ArrayList<Double>()
    private val backlogSpread = ArrayList<Double>()

    /** Mean over time of the largest number of requests at an engine over the mean number. */
    val spreadInFlight: Double get() = inFlightSpread.average()

    /** Mean over time of the largest backlog of an engine over the mean one. */
    val spreadBacklog: Double get() = backlogSpread.average()

    /** Jain's index of the share of each account's requests that was served in time; 1 is even. */
    val jain: Double get() {
        val shares = byAccount.values.filter { it.asked > 0 }.map { it.inTime.toDouble() / it.asked }
        return shares.sum() * shares.sum() / (shares.size * shares.sumOf { it * it }).coerceAtLeast(Double.MIN_VALUE)
    }

    private fun count(request: ModelRequest, change: Counts.() -> Unit) {
        byClass.getOrPut(request.kind.name) { Counts() }.change()
        byAccount.getOrPut(request.account) { Counts() }.change()
        total.change()
    }

    fun onAsked(request: ModelRequest) = count(request) { if (request.tries == 0) asked++ else returned++ }

    fun onFirst(request: ModelRequest, atMs: Double) =
        count(request) { if (atMs - request.firstArrivedMs <= request.kind.targetMs) inTime++ else late++ }

    fun onLate(request: ModelRequest) = count(request) { late++ }

    fun onRefused(request: ModelRequest) = count(request) { if (request.tries == 0) refusedOnce++ else refusedAgain++ }

    fun onRejected() {
        rejected++
    }

    fun sample(engines: List<ModelEngine>) {
        val inFlight = engines.map { it.inFlight.toDouble() }
        if (inFlight.average() >= 1) inFlightSpread += inFlight.max() / inFlight.average()
        val backlog = engines.map { it.backlogMs }
        if (backlog.average() >= MIN_BACKLOG_MS) backlogSpread += backlog.max() / backlog.average()
    }

    private companion object {
        /** With less work, the ratio shows single requests. */
        const val MIN_BACKLOG_MS = 5.0
    }
}
