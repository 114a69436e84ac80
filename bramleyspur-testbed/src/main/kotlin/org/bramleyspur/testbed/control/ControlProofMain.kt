/*
 * Checks the guarantees of the control instances with real processes on loopback, and measures their latency.
 */
package org.bramleyspur.testbed.control

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.io.File
import java.nio.file.Files
import kotlin.system.exitProcess

private class ProofFlags(parser: ArgParser) {
    val root by parser.option(ArgType.String, "root", description = "Root of the repository").required()
    val portBase by parser.option(ArgType.Int, "port-base", description = "First port").default(DEFAULT_PORT_BASE)
    val only by parser.option(ArgType.String, "only", description = "Checks to run, any of a to e").default("abcde")
    val long by parser.option(ArgType.Boolean, "long", description = "Stop instances for 60 s instead of 20 s")
        .default(false)
    val runs by parser.option(ArgType.Int, "runs", description = "Number of leader changes to measure").default(5)
}

/** Runs the checks; exits 1 if a guarantee was violated. */
fun main(args: Array<String>) {
    val parser = ArgParser("control-proof")
    val flags = ProofFlags(parser)
    parser.parse(args)
    val report = ProofReport()
    val workDir = Files.createTempDirectory("control-proof").toFile()
    runChecks(flags, workDir, report)
    println()
    report.print()
    if (report.allHold) workDir.deleteRecursively() else System.err.println("the logs are in $workDir")
    exitProcess(if (report.allHold) 0 else 1)
}

private fun runChecks(flags: ProofFlags, workDir: File, report: ProofReport) {
    val selected = flags.only.filter { it in "abcde" }
    if (selected.isNotEmpty()) {
        withCluster(flags, File(workDir, "log"), 0, DEFAULT_SNAPSHOT_ENTRIES) { runChecksOn(it, flags, report) }
    }
    if ('d' in flags.only) {
        withCluster(flags, File(workDir, "snapshot"), SECOND_CLUSTER_PORT_OFFSET, SMALL_SNAPSHOT_ENTRIES) {
            CatchUp(it, report, MISSED_CHANGES, acrossSnapshot = true).run()
        }
    }
}

private fun runChecksOn(cluster: ControlCluster, flags: ProofFlags, report: ProofReport) {
    val pauseMs = if (flags.long) LONG_PAUSE_MS else PAUSE_MS
    if ('a' in flags.only) RacingCommands(cluster, report).run()
    if ('b' in flags.only) PausedMember(cluster, report, pauseMs).run()
    if ('c' in flags.only) LostDisk(cluster, report).run()
    if ('d' in flags.only) CatchUp(cluster, report, MISSED_CHANGES / 2, acrossSnapshot = false).run()
    if ('e' in flags.only) ControlLatency(cluster, report, flags.runs).run()
}

private fun withCluster(
    flags: ProofFlags,
    workDir: File,
    portOffset: Int,
    snapshotEntries: Long,
    action: (ControlCluster) -> Unit,
) {
    workDir.mkdirs()
    val cluster = ControlCluster(File(flags.root), workDir, flags.portBase + portOffset, snapshotEntries)
    val shutdownHook = Thread { cluster.close() }
    Runtime.getRuntime().addShutdownHook(shutdownHook)
    cluster.use {
        it.start()
        action(it)
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook)
}

private const val DEFAULT_PORT_BASE = 23_100
private const val SECOND_CLUSTER_PORT_OFFSET = 20
private const val DEFAULT_SNAPSHOT_ENTRIES = 10_000L

/** Less than [MISSED_CHANGES], so that a member that missed them needs a snapshot. */
private const val SMALL_SNAPSHOT_ENTRIES = 200L

/** Changes that a follower misses before it catches up by snapshot; half as many without a snapshot. */
private const val MISSED_CHANGES = 600
private const val PAUSE_MS = 20_000L
private const val LONG_PAUSE_MS = 60_000L
