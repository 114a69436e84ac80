/*
 * The command line of the fault matrix.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.io.File
import kotlin.system.exitProcess

/** Runs the rows and prints their verdicts; exits 1 when a promise was broken and 64 when the flags are wrong. */
fun main(args: Array<String>) {
    val parser = ArgParser("fault-matrix")
    val only by parser.option(ArgType.String, "only", description = "Run the rows whose name contains this text")
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of ports, load and choices").default(1)
    val root by parser.option(ArgType.String, "root", description = "Folder of the launchers").default(".")
    parser.parse(args)
    val rows = ROWS.filter { only == null || only.orEmpty() in it.name }
    if (rows.isEmpty()) {
        System.err.println("fault-matrix: no row '$only'; the rows are ${ROWS.joinToString { it.name }}")
        exitProcess(64)
    }
    val run = MatrixRun(File(root), seed.toLong())
    Runtime.getRuntime().addShutdownHook(Thread { run.close() })
    val broken = rows.map { row -> run.run(row).also(::print) }.count { it.problems.isNotEmpty() }
    run.close()
    println("seed $seed: ${rows.size} rows, $broken broken")
    if (broken == 0) run.discard() else println("logs and data are in ${run.folder}")
    exitProcess(if (broken == 0) 0 else 1)
}

private fun print(result: RowResult) {
    val figures = "last failure %5d ms, %3d tries".format(result.recoveryMs, result.tries)
    println("%-36s %-6s %s  %s".format(result.name, result.verdict, figures, result.notes))
    result.problems.take(SHOWN_PROBLEMS).forEach { println("    $it") }
    if (result.problems.size > SHOWN_PROBLEMS) println("    and ${result.problems.size - SHOWN_PROBLEMS} more")
}

private const val SHOWN_PROBLEMS = 8
