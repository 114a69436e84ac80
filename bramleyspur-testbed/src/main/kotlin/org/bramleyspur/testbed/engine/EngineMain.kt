/*
 * The command line of the stand-in engine.
 */
package org.bramleyspur.testbed.engine

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.runStandIn
import java.util.UUID

private class EngineFlags(parser: ArgParser) {
    val address by parser.option(ArgType.String, "address", description = "HOST:PORT to listen on; port 0 for any")
        .default("127.0.0.1:9001")
    val slots by parser.option(ArgType.Int, "slots", description = "Generations that run at once").default(8)
    val queue by parser.option(ArgType.Int, "queue", description = "Requests that may wait for a slot").default(0)
    val decodeMs by parser.option(ArgType.Double, "decode-ms", description = "Milliseconds between tokens").default(5.0)
    val prefill by parser.option(ArgType.Double, "prefill-us", description = "Prefill microseconds per prompt byte")
        .default(1.0)
    val cacheBlocks by parser.option(ArgType.Int, "cache-blocks", description = "Cached prefix blocks of 256 bytes")
        .default(4096)
    val eventDelayMs by parser.option(ArgType.Int, "cache-event-delay-ms", description = "Delay of cache events in ms")
        .default(200)
    val eventLoss by parser.option(
        ArgType.Double,
        "cache-event-loss",
        description = "Probability that a cache event is lost",
    )
        .default(0.0)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the cache event loss").default(1)
    val loadMs by parser.option(ArgType.Int, "load-ms", description = "Milliseconds to load a model").default(1000)
    val failLoad by parser.option(ArgType.Boolean, "fail-load", description = "Every load fails").default(false)
    val reportLagMs by parser.option(
        ArgType.Int,
        "report-lag-ms",
        description = "Age of load reports in ms",
    ).default(500)
    val fencing by parser.option(
        ArgType.Choice<Fencing>({ Fencing.valueOf(it.uppercase()) }, { it.name.lowercase() }),
        "fencing",
        description = "Whether fencing numbers are honoured",
    ).default(Fencing.HONOUR)
    val slowDown by parser.option(ArgType.Double, "slow-down", description = "Factor on all times, for a straggler")
        .default(1.0)
    val maxTokens by parser.option(ArgType.Int, "max-tokens", description = "Default completion length in tokens")
        .default(DEFAULT_MAX_TOKENS)
    val bootId by parser.option(ArgType.String, "boot-id", description = "Boot id; random by default")
    val groupCheckMs by parser.option(ArgType.Int, "group-check-ms", description = "Milliseconds between group checks")
        .default(100)
    val groupTimeoutMs by parser.option(
        ArgType.Int,
        "group-timeout-ms",
        description = "Oldest valid member answer in ms",
    )
        .default(300)
    val model by parser.option(ArgType.String, "model", description = "Model loaded at start, to run without an agent")
    val version by parser.option(ArgType.String, "version", description = "Version of --model").default("v1")
    val adapters by parser.option(ArgType.String, "adapters", description = "Adapters of --model, comma-separated")
        .default("")

    fun settings() = EngineSettings(
        slots = slots,
        queueLimit = queue,
        decodeMs = decodeMs,
        prefillMicrosPerByte = prefill,
        cacheBlocks = cacheBlocks,
        cacheEventDelayMs = eventDelayMs.toLong(),
        cacheEventLoss = eventLoss,
        seed = seed.toLong(),
        loadMs = loadMs.toLong(),
        failLoad = failLoad,
        reportLagMs = reportLagMs.toLong(),
        fencing = fencing,
        slowDown = slowDown,
        defaultMaxTokens = maxTokens,
        bootId = bootId ?: UUID.randomUUID().toString(),
        groupCheckMs = groupCheckMs.toLong(),
        groupTimeoutMs = groupTimeoutMs.toLong(),
        model = model,
        version = version,
        adapters = adapters.split(',').filter { it.isNotEmpty() },
    )
}

/** Runs a stand-in engine until the process is stopped; prints `listening on HOST:PORT` when it is ready. */
fun main(args: Array<String>) {
    val parser = ArgParser("bramleyspur-standin engine")
    val flags = EngineFlags(parser)
    parser.parse(args)
    val address = parseAddress(flags.address)
    runStandIn {
        val server = EngineServer(address, flags.settings())
        println("listening on ${address.hostString}:${server.port}")
        server.await()
    }
}
