package org.bramleyspur.daemon.caller.request

import org.bramleyspur.daemon.caller.CallerError
import org.bramleyspur.protocol.Head
import org.bramleyspur.protocol.Header

/** The error for a request that an engine rejected as wrong. */
internal fun rejectionOf(status: Int, message: String): CallerError = CallerError.invalid(message, status)

/** Head of a response with this error. */
internal fun CallerError.toHead(): Head {
    val fields = headers().map { (name, value) -> Header.newBuilder().setName(name).setValue(value).build() }
    return Head.newBuilder().setStatus(status).addAllHeaders(fields).build()
}

/** Header fields as pairs. */
internal fun Head.pairs(): List<Pair<String, String>> = headersList.map { it.name to it.value }
