package org.bramleyspur.testbed.engine

/** Reason for which an engine refuses a request before it runs. */
internal sealed class EngineRefusal(val status: Int, val type: String, val message: String) {
    /** The engine has another role, replica or fencing number than the request expects, or its group is incomplete. */
    class NotInRole(message: String) : EngineRefusal(409, "not_in_role", message)

    /** All slots are taken and the queue is full. */
    object NoSlot : EngineRefusal(429, "no_slot", "no free slot; send the request to another replica or later")

    /** The deadline of the request has passed. */
    object Expired : EngineRefusal(408, "expired", "the time of the request ran out before it began")

    /** The model or adapter is not loaded. */
    class NotLoaded(name: String) : EngineRefusal(404, "model_not_found", "model '$name' is not loaded here")

    /** The request is invalid. */
    class Malformed(message: String) : EngineRefusal(400, "invalid_request_error", message)

    /** The attempt was cancelled while it waited for a slot. */
    object Cancelled : EngineRefusal(408, "cancelled", "the request was cancelled before it began")
}
