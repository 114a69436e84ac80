/*
 * Checks the promises of the control instances with real processes on loopback, and measures them.
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
    val only by parser.option(ArgType.String, "only", description = "Checks to run, of a to e").default("abcde")
    val long by parser.option(ArgType.Boolean, "long", description = "Stop instances for 60 s instead of 20 s")
        .default(false)
    val runs by parser.option(ArgType.Int, "runs", description = "Changes of leader that are measured").default(5)
}

/** Runs the checks; exits 1 when a promise was broken. */
fun main(args: Array<String>) {
    val parser = ArgParser("control-proof")
    val flags = ProofFlags(parser)
    parser.parse(args)
    val report = ProofReport()
    val work = Files.createTempDirectory("control-proof").toFile()
    runChecks(flags, work, report)
    println()
    report.print()
    if (report.kept) work.deleteRecursively() else System.err.println("the logs are in $work")
    exitProcess(if (report.kept) 0 else 1)
}

private fun runChecks(flags: ProofFlags, work: File, report: ProofReport) {
    val first = flags.only.filter { it in "abcde" }
    if (first.isNotEmpty()) {
        withCluster(flags, File(work, "log"), 0, DEFAULT_SNAPSHOT_ENTRIES) { runOn(it, flags, report) }
    }
    if ('d' in flags.only) {
        withCluster(flags, File(work, "snapshot"), SECOND_CLUSTER_OFFSET, SMALL_SNAPSHOT_ENTRIES) {
            CatchUp(it, report, CHANGES_BEHIND, acrossSnapshot = true).run()
        }
    }
}

private fun runOn(cluster: ControlCluster, flags: ProofFlags, report: ProofReport) {
    val frozenMs = if (flags.long) LONG_FROZEN_MS else FROZEN_MS
    if ('a' in flags.only) RacingCommands(cluster, report).run()
    if ('b' in flags.only) FrozenMember(cluster, report, frozenMs).run()
    if ('c' in flags.only) LostDisk(cluster, report).run()
    if ('d' in flags.only) CatchUp(cluster, report, CHANGES_BEHIND / 2, acrossSnapshot = false).run()
    if ('e' in flags.only) ControlLatency(cluster, report, flags.runs).run()
}

private fun withCluster(
    flags: ProofFlags,
    work: File,
    offset: Int,
    snapshotEntries: Long,
    action: (ControlCluster) -> Unit,
) {
    work.mkdirs()
    val cluster = ControlCluster(File(flags.root), work, flags.portBase + offset, snapshotEntries)
    val cleanUp = Thread { cluster.close() }
    Runtime.getRuntime().addShutdownHook(cleanUp)
    cluster.use {
        it.start()
        action(it)
    }
    Runtime.getRuntime().removeShutdownHook(cleanUp)
}

private const val DEFAULT_PORT_BASE = 23_100
private const val SECOND_CLUSTER_OFFSET = 20
private const val DEFAULT_SNAPSHOT_ENTRIES = 10_000L
private const val SMALL_SNAPSHOT_ENTRIES = 200L
private const val CHANGES_BEHIND = 600
private const val FROZEN_MS = 20_000L
private const val LONG_FROZEN_MS = 60_000L
