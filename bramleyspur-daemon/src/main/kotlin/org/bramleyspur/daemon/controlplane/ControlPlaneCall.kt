/*
 * The calls that backend servers and operators make to a control instance, after an adapter has read them.
 */
package org.bramleyspur.daemon.controlplane

import com.google.protobuf.ByteString
import org.bramleyspur.core.backend.Announcement

/** A call to a control instance. */
sealed interface ControlPlaneCall {
    /** A backend server announces itself. */
    data class Announce(val announcement: Announcement) : ControlPlaneCall

    /** A backend server has ended; [id] names it. */
    data class Withdraw(val id: String, val startedAtMs: Long?, val sequence: Long?) : ControlPlaneCall

    /** An operator sends a configuration document. */
    data class Replace(val version: Long, val content: ByteString) : ControlPlaneCall

    /** An operator asks for the document in force. */
    data object Read : ControlPlaneCall

    /** A call that cannot be taken; [message] names the remedy. */
    data class Invalid(val message: String) : ControlPlaneCall

    /** A path or method that does not exist. */
    data object Unknown : ControlPlaneCall
}

/** Reads a call from method, path and body. */
typealias ControlPlaneDecoder = (method: String, path: String, body: ByteArray) -> ControlPlaneCall

/** Answer to a call. */
sealed interface ControlPlaneAnswer {
    /** The call was taken. */
    data object Accepted : ControlPlaneAnswer

    /** The document in force. */
    data class Content(val content: ByteString) : ControlPlaneAnswer

    /** Another control instance, on [host], answers this call. */
    data class AskOther(val host: String) : ControlPlaneAnswer

    /** The call is refused for good. */
    data class Refused(val message: String) : ControlPlaneAnswer

    /** The call cannot be answered now; it may be sent again. */
    data class Unavailable(val message: String) : ControlPlaneAnswer

    /** There is no such call. */
    data object NotFound : ControlPlaneAnswer
}
