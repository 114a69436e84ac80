/*
 * The command line of the load tool.
 */
package org.bramleyspur.testbed.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.bramleyspur.testbed.http.parseAddress
import java.io.File
import kotlin.system.exitProcess

private class BenchFlags(parser: ArgParser) {
    val scenario by parser.option(
        ArgType.Choice<ScenarioName>({ name -> ScenarioName.entries.first { it.flag == name } }, { it.flag }),
        "scenario",
        description = "Load to generate",
    ).required()
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of arrivals, accounts and prompts").required()
    val json by parser.option(ArgType.String, "json", description = "File for the results as JSON")
    val targets by parser.option(ArgType.String, "target", description = "Entry HOST:PORT; repeatable, used in turn")
        .required().multiple()
    val direct by parser.option(ArgType.String, "direct", description = "Engine HOST:PORT for scenario overhead")
    val apiKeys by parser.option(
        ArgType.String,
        "api-key",
        description = "NAME=KEY of an account; repeatable",
    ).multiple()
    val model by parser.option(ArgType.String, "model", description = "Model to request").default("m")
    val engineModel by parser.option(
        ArgType.String,
        "engine-model",
        description = "Name under which the engines serve the model; the same by default",
    )
    val version by parser.option(ArgType.String, "version", description = "Version used to verify texts")
        .default("v1")
    val adapter by parser.option(ArgType.String, "adapter", description = "Adapter to request; none by default")
    val rate by parser.option(ArgType.Double, "rate", description = "Calls a second; by default the scenario's")
    val duration by parser.option(ArgType.Double, "duration", description = "Seconds of each phase; 20 by default")
    val maxTokens by parser.option(
        ArgType.Int,
        "max-tokens",
        description = "Tokens of an answer; by default the scenario's",
    )
    val promptBytes by parser.option(
        ArgType.Int,
        "prompt-bytes",
        description = "Bytes of a prompt; by default the scenario's",
    )
    val capacity by parser.option(ArgType.Double, "capacity", description = "Calls a second at capacity, for overload")
    val overloadFactor by parser.option(
        ArgType.Double,
        "overload-factor",
        description = "Overload as multiple of capacity",
    )
        .default(3.0)
    val warmUp by parser.option(ArgType.Double, "warm-up", description = "Seconds of load before, as group warm-up")
        .default(5.0)
    val timeoutMs by parser.option(ArgType.Int, "timeout-ms", description = "Milliseconds until a call times out")
        .default(30_000)

    fun accounts(): List<BenchAccount> = apiKeys.map {
        require('=' in it) { "--api-key '$it' is not NAME=KEY" }
        BenchAccount(it.substringBefore('='), it.substringAfter('='))
    }.ifEmpty { listOf(BenchAccount("anonymous", null)) }

    fun options() = LoadOptions(rate, duration, maxTokens, promptBytes, capacity, overloadFactor, warmUp)

    fun targets(): Targets {
        require(scenario != ScenarioName.OVERHEAD || direct != null) { "scenario overhead needs --direct HOST:PORT" }
        return Targets(targets.map(::parseAddress), direct?.let(::parseAddress))
    }
}

/** Runs a scenario and prints its results; exits 1 if a text was wrong and 64 if the flags are invalid. */
fun main(args: Array<String>) {
    val parser = ArgParser("bramleyspur-bench")
    val flags = BenchFlags(parser)
    parser.parse(args)
    val result =
        try {
            run(flags)
        } catch (e: IllegalArgumentException) {
            System.err.println("bramleyspur-bench: ${e.message}")
            exitProcess(64)
        }
    print(table(result))
    flags.json?.let { File(it).writeText(Json { prettyPrint = true }.encodeToString(result) + "\n") }
    exitProcess(if (result.wrongTexts > 0) 1 else 0)
}

private fun run(flags: BenchFlags): BenchReport {
    val accounts = flags.accounts()
    val scenario = scenario(flags.scenario, accounts.size, flags.options())
    val seed = flags.seed.toLong()
    val calls = plan(scenario.phases, accounts, scenario.shape, seed)
    val model = BenchModel(flags.model, flags.version, flags.adapter, flags.engineModel ?: flags.model)
    val recorders = LoadRun(calls, flags.targets(), model, seed, flags.timeoutMs.toLong()).run()
    return report(scenario, seed, calls, recorders)
}
