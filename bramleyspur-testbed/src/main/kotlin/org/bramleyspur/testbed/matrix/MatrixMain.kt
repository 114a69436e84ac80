/*
 * The command line of the fault matrix.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.io.File
import kotlin.system.exitProcess

/** Runs the fault cases and prints their verdicts; exits 1 if a guarantee was violated and 64 on bad flags. */
fun main(args: Array<String>) {
    val parser = ArgParser("fault-matrix")
    val only by parser.option(ArgType.String, "only", description = "Run the cases whose name contains this text")
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of ports, load and random choices").default(1)
    val root by parser.option(ArgType.String, "root", description = "Directory that contains bin/").default(".")
    parser.parse(args)
    val cases = FAULT_CASES.filter { only == null || only.orEmpty() in it.name }
    if (cases.isEmpty()) {
        System.err.println("fault-matrix: no case matches '$only'; cases: ${FAULT_CASES.joinToString { it.name }}")
        exitProcess(64)
    }
    val run = MatrixRun(File(root), seed.toLong())
    Runtime.getRuntime().addShutdownHook(Thread { run.close() })
    val broken = cases.map { faultCase -> run.run(faultCase).also(::print) }.count { it.violations.isNotEmpty() }
    run.close()
    println("seed $seed: ${cases.size} cases, $broken broken")
    if (broken == 0) run.deleteWorkDir() else println("logs and data are in ${run.workPath}")
    exitProcess(if (broken == 0) 0 else 1)
}

private fun print(result: FaultCaseResult) {
    val figures = "last failure %5d ms, %3d attempts".format(result.recoveryMs, result.attemptCount)
    println("%-36s %-6s %s  %s".format(result.name, result.verdict, figures, result.details))
    result.violations.take(SHOWN_VIOLATIONS).forEach { println("    $it") }
    if (result.violations.size > SHOWN_VIOLATIONS) println("    and ${result.violations.size - SHOWN_VIOLATIONS} more")
}

private const val SHOWN_VIOLATIONS = 8
