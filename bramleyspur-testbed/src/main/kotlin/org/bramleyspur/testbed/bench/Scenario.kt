/*
 * The load scenarios and their default sizes.
 */
package org.bramleyspur.testbed.bench

/** Scenarios and their names on the command line. */
internal enum class ScenarioName(val flag: String) {
    /** Calls at a constant average rate with short prompts and completions. */
    RAGUSA("ragusa"),

    /** Calls at a lower constant average rate with long prompts and completions. */
    KERHERVE("kerherve"),

    /** Load at capacity, then at a multiple of it. */
    OVERLOAD("overload"),

    /** The load of [RAGUSA], for a deployment with an engine that is slowed down by `--slow-down`. */
    STRAGGLER("straggler"),

    /** Load of small accounts alone, then together with a large account. */
    LARGE_ACCOUNT("large-account"),

    /** Calls at random through an entry or directly to an engine, to measure the added latency. */
    OVERHEAD("overhead"),
}

/** Load settings; null selects the scenario's default. [rate] and [capacity] are in calls a second. */
internal data class LoadOptions(
    val rate: Double? = null,
    val seconds: Double? = null,
    val maxTokens: Int? = null,
    val promptBytes: Int? = null,
    val capacity: Double? = null,
    val overloadFactor: Double = 3.0,
    val warmUpSeconds: Double = 0.0,
)

/** A scenario with its phases and call sizes. */
internal data class Scenario(val name: ScenarioName, val phases: List<Phase>, val shape: CallShape)

private const val WARM_UP = "warm-up"

private const val DEFAULT_SECONDS = 20.0

/** Offered load of the large account, as a multiple of all small accounts together. */
private const val LARGE_ACCOUNT_FACTOR = 4.0

/** Builds the scenario [name] for [accounts] accounts, of which the first ones have a higher load. */
internal fun scenario(name: ScenarioName, accounts: Int, options: LoadOptions): Scenario {
    val seconds = options.seconds ?: DEFAULT_SECONDS
    // The offered load of an account is inversely proportional to its rank, so that few accounts are large.
    val weights = List(accounts) { 1.0 / (it + 1) }
    val phases =
        when (name) {
            ScenarioName.RAGUSA, ScenarioName.STRAGGLER -> listOf(
                Phase(name.flag, options.rate ?: 40.0, seconds, weights),
            )
            ScenarioName.KERHERVE -> listOf(Phase(name.flag, options.rate ?: 12.0, seconds, weights))
            ScenarioName.OVERLOAD -> overload(options, seconds, weights)
            ScenarioName.LARGE_ACCOUNT -> largeAccount(options.rate ?: 20.0, seconds, accounts)
            ScenarioName.OVERHEAD -> listOf(overhead(options.rate ?: 60.0, seconds, weights))
        }
    return Scenario(name, warmUp(phases.first(), options.warmUpSeconds) + phases, shape(name, options))
}

/** Load like that of [first] during JIT compilation in the processes; reported as a separate group. */
private fun warmUp(first: Phase, seconds: Double): List<Phase> = if (seconds > 0) {
    listOf(first.copy(group = WARM_UP, seconds = seconds, groupOf = { _, _ -> WARM_UP }))
} else {
    emptyList()
}

private fun shape(name: ScenarioName, options: LoadOptions): CallShape {
    val long = name == ScenarioName.KERHERVE
    val promptBytes = options.promptBytes ?: if (long) 2400 else 900
    return CallShape(options.maxTokens ?: if (long) 160 else 64, promptBytes, sharedPromptBytes = promptBytes * 2 / 3)
}

private fun overload(options: LoadOptions, seconds: Double, weights: List<Double>): List<Phase> {
    val capacity = requireNotNull(options.capacity) { "scenario overload needs --capacity in calls a second" }
    return listOf(
        Phase("capacity", capacity, seconds, weights),
        Phase("overload", capacity * options.overloadFactor, seconds, weights),
    )
}

private fun largeAccount(rate: Double, seconds: Double, accounts: Int): List<Phase> {
    require(accounts >= 2) { "scenario large-account needs at least two --api-key; the first is the large account" }
    val small = List(accounts) { if (it == 0) 0.0 else 1.0 }
    val factor = LARGE_ACCOUNT_FACTOR * (accounts - 1)
    val withLarge = List(accounts) { if (it == 0) factor else 1.0 }
    return listOf(
        Phase("small-alone", rate, seconds, small),
        Phase("small-with-large", rate * (1 + LARGE_ACCOUNT_FACTOR), seconds, withLarge, { account, _ ->
            if (account == 0) "large" else "small-with-large"
        }),
    )
}

/** Sends each call to a random side, so that both sides experience the same engine load on the same machine. */
private fun overhead(rate: Double, seconds: Double, weights: List<Double>): Phase =
    Phase("overhead", rate, seconds, weights, { _, side -> side.name.lowercase() }, directShare = 0.5)
