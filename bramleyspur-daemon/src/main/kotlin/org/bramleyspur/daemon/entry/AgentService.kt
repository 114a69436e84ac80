package org.bramleyspur.daemon.entry

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.protocol.AgentServiceGrpc
import org.bramleyspur.protocol.ConfirmReply
import org.bramleyspur.protocol.ConfirmRequest
import org.bramleyspur.protocol.ExecuteEvent
import org.bramleyspur.protocol.ExecuteRequest
import org.bramleyspur.protocol.LookupReply
import org.bramleyspur.protocol.LookupRequest
import org.bramleyspur.traffic.admission.AttemptKey

/**
 * gRPC service for entries and for other agents of the same replica; all calls come on the traffic thread.
 *
 * @property onConfirm handles the confirmation request of another agent
 */
class AgentService(
    private val incarnation: Incarnation,
    private val attemptManager: AttemptManager,
    private val onConfirm: (ConfirmRequest, (ConfirmReply) -> Unit) -> Unit,
) : AgentServiceGrpc.AgentServiceImplBase() {
    override fun execute(events: StreamObserver<ExecuteEvent>): StreamObserver<ExecuteRequest> =
        AttemptRequestObserver(events as ServerCallStreamObserver<ExecuteEvent>)

    override fun lookup(request: LookupRequest, reply: StreamObserver<LookupReply>) {
        val state = attemptManager.lookup(AttemptKey(RequestId(request.request), request.attempt), request.cancel)
        val response = LookupReply
            .newBuilder()
            .setState(LookupReply.State.valueOf(state.name))
            .setIncarnation(incarnation.value)
            .build()
        reply.onNext(response)
        reply.onCompleted()
    }

    override fun confirm(request: ConfirmRequest, reply: StreamObserver<ConfirmReply>) {
        onConfirm(request) { response ->
            reply.onNext(response)
            reply.onCompleted()
        }
    }

    /** Handles the messages of one attempt. */
    private inner class AttemptRequestObserver(private val events: ServerCallStreamObserver<ExecuteEvent>) :
        StreamObserver<ExecuteRequest> {
        private var stream: AttemptStream? = null

        init {
            events.disableAutoRequest()
            events.request(1)
            events.setOnReadyHandler { stream?.onStreamReady() }
            events.setOnCancelHandler { stream?.let { attemptManager.cancel(it, disconnected = true) } }
        }

        override fun onNext(message: ExecuteRequest) {
            when (message.kindCase) {
                ExecuteRequest.KindCase.START -> {
                    // Requests one message more than needed, so that a cancel is received while body reading is paused.
                    events.request(2)
                    if (stream == null) stream = attemptManager.offer(message.start, events)
                }
                ExecuteRequest.KindCase.BODY -> stream?.addBodyPart(message.body)
                ExecuteRequest.KindCase.CANCEL -> stream?.let { attemptManager.cancel(it, disconnected = false) }
                else -> Unit
            }
        }

        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit
    }
}
