/*
 * Sessions of entries and agents with the control leader, on the control thread.
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

/** Serves session streams while this member leads. */
class SessionService(private val node: ControlNode, private val timers: TimerService) {
    private val streams = HashMap<Long, StreamObserver<SessionDown>>()
    private var nextStream = 0L
    private var leading = false
    private var encodedConfiguration: Pair<Configuration, ConfigurationMessage>? = null

    /** Sessions as the leader knows them; not replicated. */
    var state = SessionState.initial()
        private set

    /** Starts the periodic check of the sessions. */
    fun start() {
        timers.every(TICK_INTERVAL_MS) { if (leading) handle(SessionEvent.Tick) }
    }

    /** Starts the sessions of [term], which this member now leads. */
    fun onLeading(term: Long, control: ControlState) {
        leading = true
        handle(SessionEvent.BecameLeader(term, control.configuration, control.assignments.values.toList()))
    }

    /** Closes all sessions, so that the processes connect to the new leader. */
    fun onLeadershipLost() {
        leading = false
        state = SessionState.initial()
        val open = streams.values.toList()
        streams.clear()
        open.forEach { it.redirect() }
    }

    /** Applies a committed change of the configuration or the assignments. */
    fun onCommitted(control: ControlState) {
        if (leading) handle(SessionEvent.Committed(control.configuration, control.assignments.values.toList()))
    }

    /** Opens the session stream of a process. */
    fun open(responses: StreamObserver<SessionDown>): StreamObserver<SessionUp> {
        val stream = nextStream++
        streams[stream] = responses
        return SessionStream(stream, responses)
    }

    private fun handle(event: SessionEvent) {
        val step = state.handle(event, timers.nowMs())
        state = step.state
        step.effects.forEach { execute(it) }
    }

    private fun execute(effect: SessionEffect) {
        when (effect) {
            is SessionEffect.HeartbeatResponse -> send(effect.stream) { setHeartbeatReply(effect.toMessage()) }
            is SessionEffect.SendConfiguration -> send(effect.stream) {
                setConfiguration(messageOf(effect.configuration))
            }
            is SessionEffect.SendRoutes -> send(effect.stream) { setRoutes(effect.routes.toMessage()) }
            is SessionEffect.CloseStream -> close(effect)
        }
    }

    /** Encodes once for all sessions, since an encoding for each delays heartbeats on the control thread. */
    private fun messageOf(configuration: Configuration): ConfigurationMessage {
        val cached = encodedConfiguration?.takeIf { it.first === configuration }
        return (cached ?: (configuration to configuration.toMessage()).also { encodedConfiguration = it }).second
    }

    private fun send(stream: Long, fill: SessionDown.Builder.() -> Unit) {
        val responses = streams[stream] ?: return
        responses.onNext(SessionDown.newBuilder().apply(fill).build())
    }

    private fun close(effect: SessionEffect.CloseStream) {
        logger.info { "closing session stream ${effect.stream}: ${effect.reason}" }
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

    /** Handles the messages of one process; redirects it when the lease has ended, so that no stale state is served. */
    private inner class SessionStream(private val stream: Long, private val responses: StreamObserver<SessionDown>) :
        StreamObserver<SessionUp> {
        override fun onNext(message: SessionUp) {
            if (stream !in streams) return
            if (!leading || node.leadingTerm() == null) return redirectProcess()
            when (message.kindCase) {
                SessionUp.KindCase.HELLO -> handle(message.hello.toEvent(stream))
                SessionUp.KindCase.HEARTBEAT -> handle(message.heartbeat.toEvent(stream))
                else -> logger.warn { "ignoring a message of unknown kind on session stream $stream" }
            }
        }

        override fun onError(cause: Throwable) = end()

        override fun onCompleted() = end()

        private fun redirectProcess() {
            streams.remove(stream)
            responses.redirect()
        }

        private fun end() {
            val open = streams.remove(stream) ?: return
            if (leading) handle(SessionEvent.StreamClosed(stream))
            open.onCompleted()
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 250L
    }
}
