package org.bramleyspur.cli

import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import org.bramleyspur.core.document.DocumentForm
import java.util.ServiceLoader
import java.util.logging.Level
import java.util.logging.Logger
import kotlin.system.exitProcess

/** The operators' tool `bin/bramleyspur`. */
fun main(args: Array<String>) {
    // By default, Netty writes its debug log to standard output, among the replies, and gRPC logs to standard error.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
    Logger.getLogger("").level = Level.SEVERE
    val console = Console(System.out, System.err) { System.`in`.bufferedReader().readText() }
    val form = ServiceLoader.load(DocumentForm::class.java).firstOrNull()
    exitProcess(run(args.toList(), System.getenv(), console, form).code)
}
