package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import org.bramleyspur.protocol.Head
import org.bramleyspur.traffic.stream.RequestEnding

/** Takes the answer of one request, in order; nothing follows [end]. */
interface AnswerSink {
    /** Whether the sink takes more now; when it does not, [RequestRunner.resume] tells that it does again. */
    val writable: Boolean

    /** Takes the token at [position]. */
    fun token(position: Int, token: String)

    /** Takes the head of an answer that is passed on. */
    fun head(head: Head)

    /** Takes a part of a body that is passed on. */
    fun body(data: ByteString)

    /** The request has ended. */
    fun end(ending: RequestEnding)
}
