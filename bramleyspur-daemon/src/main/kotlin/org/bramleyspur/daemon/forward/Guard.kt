package org.bramleyspur.daemon.forward

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.bramleyspur.daemon.http.HttpFailure
import org.bramleyspur.daemon.http.HttpListener

/** Runs [action]; what it throws goes to [onFault], since event loops and timers would discard it. */
@Suppress("TooGenericExceptionCaught") // An error must not leave the caller without an answer either.
internal inline fun guarded(onFault: (Throwable) -> Unit, action: () -> Unit) {
    try {
        action()
    } catch (cause: Throwable) {
        onFault(cause)
    }
}

/** Passes events to [listener]; the HTTP client would take its exceptions for a failure of the backend server. */
internal class GuardedListener(private val listener: HttpListener, private val onFault: (Throwable) -> Unit) :
    HttpListener {
    override fun onHead(status: Int, headers: HttpHeaders) = guarded(onFault) { listener.onHead(status, headers) }

    override fun onData(data: ByteBuf) = guarded(onFault) { listener.onData(data) }

    override fun onEnd() = guarded(onFault) { listener.onEnd() }

    override fun onFailure(failure: HttpFailure, message: String) =
        guarded(onFault) { listener.onFailure(failure, message) }

    override fun onWritable(writable: Boolean) = guarded(onFault) { listener.onWritable(writable) }
}
