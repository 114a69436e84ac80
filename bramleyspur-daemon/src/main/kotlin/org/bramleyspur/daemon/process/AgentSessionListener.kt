package org.bramleyspur.daemon.process

import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.daemon.control.ControlSessionListener
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply

/** Connects an agent's session to its duties. */
internal class AgentSessionListener(private val duties: BackendDuties) : ControlSessionListener {
    override fun heartbeat(): Heartbeat.Builder = duties.heartbeat()

    /** Holding the revision is enough: an agent acts on assignments, and its heartbeat acknowledges the revision. */
    override fun onConfiguration(configuration: Configuration) = Unit

    override fun onRoutes(routes: RouteTable) = Unit

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) = duties.onReply(reply, sentAtMs)
}
