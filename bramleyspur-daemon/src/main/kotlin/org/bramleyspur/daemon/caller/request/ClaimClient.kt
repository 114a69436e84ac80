package org.bramleyspur.daemon.caller.request

import com.google.protobuf.ByteString
import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.protocol.ClaimRequest
import org.bramleyspur.protocol.CompleteReply
import org.bramleyspur.protocol.CompleteRequest
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.traffic.claim.ClaimHolder
import org.bramleyspur.traffic.claim.ClaimReply
import org.bramleyspur.traffic.claim.ClaimTarget
import org.bramleyspur.traffic.claim.RecordedAnswer
import java.util.concurrent.TimeUnit
import org.bramleyspur.protocol.ClaimReply as ClaimReplyMessage
import org.bramleyspur.protocol.RecordedAnswer as RecordedAnswerMessage

/** Claims idempotency keys and records responses at the control leader; used by the traffic thread only. */
class ClaimClient(private val group: EventLoopGroup) : AutoCloseable {
    private var leader: Address? = null
    private var channel: ManagedChannel? = null

    /** Sets the address of the control leader, null while there is none. */
    fun onLeader(address: Address?) {
        if (address == null || address == leader) return
        channel?.shutdown()
        leader = address
        channel = openChannel(address, group)
    }

    /** Claims a key; [onReply] gets [ClaimReply.Lost] if no leader replies in time. */
    fun claim(request: ClaimRequest, onReply: (ClaimReply) -> Unit) {
        val stub = stub() ?: return onReply(ClaimReply.Lost)
        stub.claim(request, SingleReplyObserver(onReply, ClaimReply.Lost) { it.toModel() })
    }

    /** Records the outcome of a call; [onReply] gets null if no leader replies in time. */
    fun complete(request: CompleteRequest, onReply: (Boolean?) -> Unit) {
        val stub = stub() ?: return onReply(null)
        stub.complete(request, SingleReplyObserver(onReply, null) { it.toResult() })
    }

    override fun close() {
        channel?.shutdownNow()
    }

    private fun stub() = channel?.let {
        ControlServiceGrpc.newStub(it).withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private fun ClaimReplyMessage.toModel(): ClaimReply = when (state) {
        ClaimReplyMessage.State.GRANTED -> ClaimReply.Granted
        ClaimReplyMessage.State.IN_PROGRESS -> ClaimReply.InProgress(
            ClaimHolder(RequestId(request), ClaimTarget(Incarnation(incarnation), agentAddress)),
        )
        ClaimReplyMessage.State.ANSWERED -> ClaimReply.Answered(answer.toModel())
        ClaimReplyMessage.State.DIGEST_MISMATCH -> ClaimReply.DigestMismatch
        ClaimReplyMessage.State.UNKNOWN_OUTCOME -> ClaimReply.UnknownOutcome
        ClaimReplyMessage.State.NOT_LEADER -> onNotLeader(leader)
        else -> ClaimReply.Lost
    }

    private fun onNotLeader(hint: String): ClaimReply {
        onLeader(Address.parse(hint).component1())
        return ClaimReply.Lost
    }

    private fun CompleteReply.toResult(): Boolean? {
        if (leader.isEmpty()) return recorded
        onLeader(Address.parse(leader).component1())
        return null
    }

    private class SingleReplyObserver<M, R>(
        private val onReply: (R) -> Unit,
        private val failureReply: R,
        private val read: (M) -> R,
    ) : StreamObserver<M> {
        private var replied = false

        override fun onNext(message: M) {
            replied = true
            onReply(read(message))
        }

        override fun onError(cause: Throwable) {
            if (!replied) onReply(failureReply)
        }

        override fun onCompleted() = Unit
    }

    private companion object {
        /** Longer than a commit across data centres, shorter than a leader change. */
        const val CALL_TIMEOUT_MS = 1_500L
    }
}

internal fun RecordedAnswerMessage.toModel() =
    RecordedAnswer(status, contentType, if (bodyKept) body.toByteArray() else null, bodyBytes)

internal fun RecordedAnswer.toMessage(): RecordedAnswerMessage = RecordedAnswerMessage
    .newBuilder()
    .setStatus(status)
    .setContentType(contentType)
    .setBody(body?.let { ByteString.copyFrom(it) } ?: ByteString.EMPTY)
    .setBodyKept(body != null)
    .setBodyBytes(bodyBytes)
    .build()
