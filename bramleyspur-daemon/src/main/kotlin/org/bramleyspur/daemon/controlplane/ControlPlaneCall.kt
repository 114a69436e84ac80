/*
 * The calls of backend servers and operators to a control instance, as an adapter decodes them.
 */
package org.bramleyspur.daemon.controlplane

import com.google.protobuf.ByteString
import org.bramleyspur.core.backend.Announcement

/** A call to a control instance. */
sealed interface ControlPlaneCall {
    /** Whether the call is dropped if its caller has closed the connection before it is handled. */
    val endsWithCaller: Boolean get() = false

    /** A backend server announces itself. */
    data class Announce(val announcement: Announcement) : ControlPlaneCall

    /** The backend server [id] deregisters; it may still serve for some time. */
    data class Deregister(val id: String, val startedAtMs: Long?, val sequence: Long?) : ControlPlaneCall

    /** An operator replaces the configuration document. */
    data class Replace(val version: Long, val content: ByteString) : ControlPlaneCall

    /** An operator requests the current configuration document. */
    data object Read : ControlPlaneCall

    /** An operator begins the evacuation of a data centre, or ends it if not [evacuated]. */
    data class Evacuate(val dataCentre: String, val evacuated: Boolean) : ControlPlaneCall {
        override val endsWithCaller get() = true
    }

    /** A malformed call; [message] says what to correct. */
    data class Invalid(val message: String) : ControlPlaneCall

    /** An unknown path or method. */
    data object Unknown : ControlPlaneCall
}

/** Decodes a call from method, path and body. */
typealias ControlPlaneDecoder = (method: String, path: String, body: ByteArray) -> ControlPlaneCall

/** Response to a call. */
sealed interface ControlPlaneResponse {
    /** The call was executed. */
    data object Accepted : ControlPlaneResponse

    /** The current configuration document. */
    data class Content(val content: ByteString) : ControlPlaneResponse

    /** Redirects the caller to the control instance on [host]. */
    data class Redirect(val host: String) : ControlPlaneResponse

    /** The call is invalid and must not be repeated unchanged. */
    data class Refused(val message: String) : ControlPlaneResponse

    /** The call cannot be served now; it may be retried. */
    data class Unavailable(val message: String) : ControlPlaneResponse

    /** The path or method is unknown. */
    data object NotFound : ControlPlaneResponse
}
