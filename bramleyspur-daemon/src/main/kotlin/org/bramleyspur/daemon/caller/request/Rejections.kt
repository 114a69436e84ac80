package org.bramleyspur.daemon.caller.request

import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Header

/** Error for a request that an engine rejected as invalid. */
internal fun rejectionOf(status: Int, message: String): CallerError = CallerError.invalid(message, status)

/** Status and headers of the response with this error. */
internal fun CallerError.toHead(): Head {
    val fields = headers().map { (name, value) -> Header.newBuilder().setName(name).setValue(value).build() }
    return Head.newBuilder().setStatus(status).addAllHeaders(fields).build()
}

/** Headers as pairs of name and value. */
internal fun Head.headerPairs(): List<Pair<String, String>> = headersList.map { it.name to it.value }
