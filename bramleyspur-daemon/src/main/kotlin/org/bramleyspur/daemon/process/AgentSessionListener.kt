package org.bramleyspur.daemon.process

import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.daemon.control.ControlSessionListener
import org.bramleyspur.protocol.Heartbeat
import org.bramleyspur.protocol.HeartbeatReply

/** Passes the events of an agent's control session to its [BackendManager]. */
internal class AgentSessionListener(private val backendManager: BackendManager) : ControlSessionListener {
    override fun heartbeat(): Heartbeat.Builder = backendManager.heartbeat()

    /** Ignored: an agent acts on assignments only, and the session's heartbeat acknowledges the revision. */
    override fun onConfiguration(configuration: Configuration) = Unit

    override fun onRoutes(routes: RouteTable) = Unit

    override fun onReply(reply: HeartbeatReply, sentAtMs: Long) = backendManager.onReply(reply, sentAtMs)
}
