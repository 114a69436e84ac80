/*
 * The load of a scenario as a pure function of its settings and seed: when each call starts, for which account, with
 * which prompt and to which side.
 */
package org.bramleyspur.testbed.bench

import java.util.Random
import kotlin.math.ln

/** An account that calls are made for; [key] is null for calls without an `Authorization` header. */
internal data class BenchAccount(val name: String, val key: String?)

/** Where a call goes. */
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

/** A prompt in the two parts of a chat: a [system] text that calls of an account share, and a [user] text. */
internal data class PlannedPrompt(val system: String, val user: String)

/** A part of a run with one arrival rate in calls a second; [groupOf] names the group that a call is reported in. */
internal data class Phase(
    val group: String,
    val rate: Double,
    val seconds: Double,
    val weights: List<Double>,
    val groupOf: (accountIndex: Int, side: Side) -> String = { _, _ -> group },
    val directShare: Double = 0.0,
)

/** Sizes of the calls of a scenario. */
internal data class CallShape(val maxTokens: Int, val promptBytes: Int, val sharedBytes: Int)

/** The calls of [phases], one after the other, with Poisson arrivals. */
internal fun plan(phases: List<Phase>, accounts: List<BenchAccount>, shape: CallShape, seed: Long): List<PlannedCall> {
    val random = Random(seed)
    val shared = accounts.map { words(random, shape.sharedBytes) }
    val calls = ArrayList<PlannedCall>()
    var phaseStart = 0.0
    for (phase in phases) {
        var at = phaseStart + gap(random, phase.rate)
        while (at < phaseStart + phase.seconds) {
            val account = pick(random, phase.weights)
            val side = if (random.nextDouble() < phase.directShare) Side.DIRECT else Side.ENTRY
            val user = words(random, shape.promptBytes - shape.sharedBytes)
            calls +=
                PlannedCall(
                    index = calls.size,
                    atNanos = (at * 1e9).toLong(),
                    group = phase.groupOf(account, side),
                    side = side,
                    account = accounts[account],
                    chat = random.nextBoolean(),
                    prompt = PlannedPrompt(shared[account], user),
                    maxTokens = shape.maxTokens,
                )
            at += gap(random, phase.rate)
        }
        phaseStart += phase.seconds
    }
    return calls
}

/** Seconds to the next arrival of a Poisson process of [rate] arrivals a second. */
private fun gap(random: Random, rate: Double): Double = -ln(1.0 - random.nextDouble()) / rate

private fun pick(random: Random, weights: List<Double>): Int {
    var left = random.nextDouble() * weights.sum()
    return weights.indices.firstOrNull { i ->
        left -= weights[i]
        left < 0
    } ?: weights.lastIndex
}

private val vocabulary = listOf("salt", "pepper", "cure", "drift", "gauge", "blend", "casing", "note", "batch", "limit")

private fun words(random: Random, bytes: Int): String = buildString {
    while (length <
        bytes
    ) {
        append(vocabulary[random.nextInt(vocabulary.size)]).append(' ').append(random.nextInt(100))
    }
}.take(maxOf(bytes, 0))
