package org.bramleyspur.traffic.agent

/** The new state after an event, and the effects to execute in order. */
data class AgentStep(val state: AgentState, val effects: List<AgentEffect>)
