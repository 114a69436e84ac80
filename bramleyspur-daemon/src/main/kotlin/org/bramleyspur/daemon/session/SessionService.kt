/*
 * Sessions of entries and agents at the control leader, on the control thread.
 */
package org.bramleyspur.daemon.session

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.session.SessionEffect
import org.bramleyspur.control.session.SessionEvent
import org.bramleyspur.control.session.SessionState
import org.bramleyspur.control.session.handle
import org.bramleyspur.control.state.ControlState
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.core.wire.toMessage
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.protocol.AccountShare
import org.bramleyspur.protocol.HeartbeatReply
import org.bramleyspur.protocol.NotLeader
import org.bramleyspur.protocol.SessionDown
import org.bramleyspur.protocol.SessionUp
import org.bramleyspur.protocol.Configuration as ConfigurationMessage

private val logger = KotlinLogging.logger {}

/** Serves sessions while this member leads. */
class SessionService(private val node: ControlNode, private val timers: TimerService) {
    private val streams = HashMap<Long, StreamObserver<SessionDown>>()
    private var nextStream = 0L
    private var leading = false
    private var encoded: Pair<Configuration, ConfigurationMessage>? = null

    /** Soft state of the leader. */
    var state = SessionState.initial()
        private set

    /** Starts the timer of the sessions. */
    fun start() {
        timers.every(TICK_MS) { if (leading) feed(SessionEvent.Tick) }
    }

    /** This member has become leader of [term]. */
    fun onLeading(term: Long, control: ControlState) {
        leading = true
        feed(SessionEvent.BecameLeader(term, control.configuration, control.assignments.values.toList()))
    }

    /** This member no longer leads; all sessions are closed so that the processes look for the new leader. */
    fun onLeadershipLost() {
        leading = false
        state = SessionState.initial()
        val open = streams.values.toList()
        streams.clear()
        open.forEach { it.redirect() }
    }

    /** A command changed the replicated state. */
    fun onCommitted(control: ControlState) {
        if (leading) feed(SessionEvent.Committed(control.configuration, control.assignments.values.toList()))
    }

    /** Opens a stream of a process. */
    fun open(down: StreamObserver<SessionDown>): StreamObserver<SessionUp> {
        val stream = nextStream++
        streams[stream] = down
        return Incoming(stream, down)
    }

    private fun feed(event: SessionEvent) {
        val step = state.handle(event, timers.nowMs())
        state = step.state
        step.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: SessionEffect) {
        when (effect) {
            is SessionEffect.HeartbeatResponse -> send(effect.stream) { setHeartbeatReply(effect.toMessage()) }
            is SessionEffect.SendConfiguration -> send(effect.stream) {
                setConfiguration(messageOf(effect.configuration))
            }
            is SessionEffect.SendRoutes -> send(effect.stream) { setRoutes(effect.routes.toMessage()) }
            is SessionEffect.CloseStream -> close(effect)
        }
    }

    /** One message for all sessions, since building one for each delays the heartbeats of the control thread. */
    private fun messageOf(configuration: Configuration): ConfigurationMessage {
        val known = encoded?.takeIf { it.first === configuration }
        return (known ?: (configuration to configuration.toMessage()).also { encoded = it }).second
    }

    private fun send(stream: Long, fill: SessionDown.Builder.() -> Unit) {
        val down = streams[stream] ?: return
        down.onNext(SessionDown.newBuilder().apply(fill).build())
    }

    private fun close(effect: SessionEffect.CloseStream) {
        logger.info { "closing a session stream: ${effect.reason}" }
        streams.remove(effect.stream)?.onCompleted()
    }

    private fun SessionEffect.HeartbeatResponse.toMessage(): HeartbeatReply = HeartbeatReply
        .newBuilder()
        .setSequence(sequence)
        .setTerm(term)
        .setLeaseMs(leaseMs.toInt())
        .addAllShares(shares.map { (account, count) -> shareOf(account, count) })
        .addAllAssignments(assignments.map { it.toMessage() })
        .build()

    private fun shareOf(account: String, count: Int): AccountShare =
        AccountShare.newBuilder().setAccount(account).setMaxConcurrent(count).build()

    private fun StreamObserver<SessionDown>.redirect() {
        val hint = NotLeader.newBuilder().setLeader(node.leaderAddress())
        onNext(SessionDown.newBuilder().setNotLeader(hint).build())
        onCompleted()
    }

    /** Messages of one process. A member whose lease is in doubt answers nothing, so that no stale state is served. */
    private inner class Incoming(private val stream: Long, private val down: StreamObserver<SessionDown>) :
        StreamObserver<SessionUp> {
        override fun onNext(message: SessionUp) {
            if (stream !in streams) return
            if (!leading || node.leadingTerm() == null) return refuse()
            when (message.kindCase) {
                SessionUp.KindCase.HELLO -> feed(message.hello.toEvent(stream))
                SessionUp.KindCase.HEARTBEAT -> feed(message.heartbeat.toEvent(stream))
                else -> logger.warn { "unknown session message ignored" }
            }
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() = end()

        private fun refuse() {
            streams.remove(stream)
            down.redirect()
        }

        private fun end() {
            val open = streams.remove(stream) ?: return
            if (leading) feed(SessionEvent.StreamClosed(stream))
            open.onCompleted()
        }
    }

    private companion object {
        const val TICK_MS = 250L
    }
}
