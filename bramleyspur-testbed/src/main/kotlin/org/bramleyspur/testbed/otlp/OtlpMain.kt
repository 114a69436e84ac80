/*
 * The command line of the OTLP receiver stand-in.
 */
package org.bramleyspur.testbed.otlp

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.runStandIn

/** Runs the receiver until the process is stopped; prints `listening on HOST:PORT` when it is ready. */
fun main(args: Array<String>) {
    val parser = ArgParser("bramleyspur-standin otlp")
    val address by parser.option(ArgType.String, "address", description = "HOST:PORT to listen on; port 0 for any")
        .default("127.0.0.1:4318")
    parser.parse(args)
    val listenAddress = parseAddress(address)
    runStandIn {
        val server = OtlpServer(listenAddress)
        println("listening on ${listenAddress.hostString}:${server.port}")
        server.await()
    }
}
