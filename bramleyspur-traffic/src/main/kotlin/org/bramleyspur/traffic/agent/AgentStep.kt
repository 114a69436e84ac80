package org.bramleyspur.traffic.agent

/** Result of one event: the new state and the effects to carry out in order. */
data class AgentStep(val state: AgentState, val effects: List<AgentEffect>)
