/*
 * The command line of the relay.
 */
package org.bramleyspur.testbed.relay

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import org.bramleyspur.testbed.http.parseAddress
import org.bramleyspur.testbed.http.runStandIn

/** Runs the relay until the process is stopped; prints the admin address as `listening on HOST:PORT` when ready. */
fun main(args: Array<String>) {
    val parser = ArgParser("bramleyspur-standin relay")
    val admin by parser.option(ArgType.String, "admin", description = "HOST:PORT of the admin interface")
        .default("127.0.0.1:9301")
    val links by parser.option(ArgType.String, "link", description = "NAME=LISTEN=TARGET, each HOST:PORT; repeatable")
        .required().multiple()
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the jitter").default(1)
    parser.parse(args)
    val address = parseAddress(admin)
    runStandIn {
        val server = RelayServer(address, links.map(LinkSettings::parse), seed.toLong())
        println("listening on ${address.hostString}:${server.adminPort}")
        server.await()
    }
}
