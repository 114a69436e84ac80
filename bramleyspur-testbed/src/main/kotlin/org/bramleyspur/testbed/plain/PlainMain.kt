/*
 * The command line of the stand-in plain backend server.
 */
package org.bramleyspur.testbed.plain

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.runStandIn
import java.util.UUID

/** Runs a stand-in plain server until the process is stopped; prints `listening on HOST:PORT` when it is ready. */
fun main(args: Array<String>) {
    val parser = ArgParser("bramleyspur-standin plain")
    val address by parser.option(ArgType.String, "address", description = "HOST:PORT to listen on; port 0 for any")
        .default("127.0.0.1:9101")
    val delayMs by parser.option(ArgType.Int, "delay-ms", description = "Duration of a call in milliseconds").default(0)
    val slots by parser.option(ArgType.Int, "slots", description = "Maximum number of concurrent calls").default(16)
    val failureStatus by parser.option(
        ArgType.Int,
        "failure-status",
        description = "Status of every answer; 0 for normal answers",
    )
        .default(0)
    val bootId by parser.option(ArgType.String, "boot-id", description = "Boot id; random by default")
    parser.parse(args)
    val settings = PlainSettings(delayMs.toLong(), slots, failureStatus, bootId ?: UUID.randomUUID().toString())
    val listenAddress = parseAddress(address)
    runStandIn {
        val server = PlainServer(listenAddress, settings)
        println("listening on ${listenAddress.hostString}:${server.port}")
        server.await()
    }
}
