package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import org.bramleyspur.protocol.Head
import org.bramleyspur.traffic.stream.RequestEnding

/** Receives the response to one request in order; no call follows [end]. */
interface ResponseSink {
    /** Whether the sink accepts more data; [RequestRunner.resume] is called when it does so again. */
    val writable: Boolean

    /** Handles the token at [position]. */
    fun token(position: Int, token: String)

    /** Handles the status and headers of a forwarded response. */
    fun head(head: Head)

    /** Handles a part of a forwarded body. */
    fun body(data: ByteString)

    /** Called once when the request has ended. */
    fun end(ending: RequestEnding)
}
