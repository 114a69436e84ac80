package org.bramleyspur.testbed.engine

/** Why an engine refuses a request before it runs. */
internal sealed class EngineRefusal(val status: Int, val type: String, val message: String) {
    /** The engine does not have the role, replica or number that the request assumes, or its group is incomplete. */
    class NotInRole(message: String) : EngineRefusal(409, "not_in_role", message)

    /** All slots are taken and the queue is full. */
    object NoSlot : EngineRefusal(429, "no_slot", "no free slot; send the request to another replica or later")

    /** The time of the request has run out. */
    object Expired : EngineRefusal(408, "expired", "the time of the request ran out before it began")

    /** The model or adapter is not loaded. */
    class NotLoaded(name: String) : EngineRefusal(404, "model_not_found", "model '$name' is not loaded here")

    /** The request contradicts itself. */
    class Malformed(message: String) : EngineRefusal(400, "invalid_request_error", message)

    /** The attempt was cancelled while it waited for a slot. */
    object Cancelled : EngineRefusal(408, "cancelled", "the request was cancelled before it began")
}
