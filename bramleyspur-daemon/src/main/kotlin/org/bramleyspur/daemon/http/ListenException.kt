/*
 * Listeners of a process. A listener that cannot be opened is reported with its address, which the system's error
 * lacks.
 */
package org.bramleyspur.daemon.http

import io.grpc.Server
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import org.bramleyspur.core.settings.Address
import java.io.IOException

/** A process cannot listen on an address; the message includes the remedy. */
class ListenException(address: Address, cause: IOException) :
    IOException(
        "cannot listen on $address: ${generateSequence<Throwable>(cause) { it.cause }.last().message}; " +
            "end the process that uses the address or choose another one",
        cause,
    )

/** Listens on [address]; throws [ListenException] when that fails. */
internal fun ServerBootstrap.listen(address: Address): Channel = try {
    bind(address.toSocketAddress()).sync().channel()
} catch (e: IOException) {
    throw ListenException(address, e)
}

/** Starts the server, whose address is [address]; throws [ListenException] when that fails. */
internal fun Server.listen(address: Address) {
    try {
        start()
    } catch (e: IOException) {
        throw ListenException(address, e)
    }
}
