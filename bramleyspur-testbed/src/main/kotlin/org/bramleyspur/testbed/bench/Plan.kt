/*
 * The load of a scenario as a pure function of its settings and seed: start time, account, prompt and destination of
 * each call.
 */
package org.bramleyspur.testbed.bench

import java.util.Random
import kotlin.math.ln

/** An account whose calls are simulated; [key] is null for calls without an `Authorization` header. */
internal data class BenchAccount(val name: String, val key: String?)

/** Destination of a call: an entry, or an engine directly. */
internal enum class Side { ENTRY, DIRECT }

/** One planned call; [atNanos] counts from the start of the run. */
internal data class PlannedCall(
    val index: Int,
    val atNanos: Long,
    val group: String,
    val side: Side,
    val account: BenchAccount,
    val chat: Boolean,
    val prompt: PlannedPrompt,
    val maxTokens: Int,
)

/** A prompt in the two parts of a chat: a [system] text shared by the calls of an account, and a [user] text. */
internal data class PlannedPrompt(val system: String, val user: String)

/** A part of a run with [rate] arrivals a second; [groupOf] returns the group in which a call is reported. */
internal data class Phase(
    val group: String,
    val rate: Double,
    val seconds: Double,
    val weights: List<Double>,
    val groupOf: (accountIndex: Int, side: Side) -> String = { _, _ -> group },
    val directShare: Double = 0.0,
)

/** Sizes of the calls of a scenario. */
internal data class CallShape(val maxTokens: Int, val promptBytes: Int, val sharedPromptBytes: Int)

/** Plans the calls of consecutive [phases] with Poisson arrivals. */
internal fun plan(phases: List<Phase>, accounts: List<BenchAccount>, shape: CallShape, seed: Long): List<PlannedCall> {
    val random = Random(seed)
    val systemTexts = accounts.map { randomText(random, shape.sharedPromptBytes) }
    val calls = ArrayList<PlannedCall>()
    var phaseStartSeconds = 0.0
    for (phase in phases) {
        var arrivalSeconds = phaseStartSeconds + nextInterval(random, phase.rate)
        while (arrivalSeconds < phaseStartSeconds + phase.seconds) {
            val accountIndex = pickWeighted(random, phase.weights)
            val side = if (random.nextDouble() < phase.directShare) Side.DIRECT else Side.ENTRY
            val user = randomText(random, shape.promptBytes - shape.sharedPromptBytes)
            calls +=
                PlannedCall(
                    index = calls.size,
                    atNanos = (arrivalSeconds * 1e9).toLong(),
                    group = phase.groupOf(accountIndex, side),
                    side = side,
                    account = accounts[accountIndex],
                    chat = random.nextBoolean(),
                    prompt = PlannedPrompt(systemTexts[accountIndex], user),
                    maxTokens = shape.maxTokens,
                )
            arrivalSeconds += nextInterval(random, phase.rate)
        }
        phaseStartSeconds += phase.seconds
    }
    return calls
}

/** Returns the seconds to the next arrival of a Poisson process with [rate] arrivals a second. */
private fun nextInterval(random: Random, rate: Double): Double = -ln(1.0 - random.nextDouble()) / rate

private fun pickWeighted(random: Random, weights: List<Double>): Int {
    var remaining = random.nextDouble() * weights.sum()
    return weights.indices.firstOrNull { i ->
        remaining -= weights[i]
        remaining < 0
    } ?: weights.lastIndex
}

private val vocabulary = listOf("salt", "pepper", "cure", "drift", "gauge", "blend", "casing", "note", "batch", "limit")

private fun randomText(random: Random, bytes: Int): String = buildString {
    while (length <
        bytes
    ) {
        append(vocabulary[random.nextInt(vocabulary.size)]).append(' ').append(random.nextInt(100))
    }
}.take(maxOf(bytes, 0))
