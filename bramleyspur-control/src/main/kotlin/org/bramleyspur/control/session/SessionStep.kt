package org.bramleyspur.control.session

/** Result of one event: the new state and the effects to execute in order. */
data class SessionStep(val state: SessionState, val effects: List<SessionEffect>)
