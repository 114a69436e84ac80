/*
 * Claims of entries, committed in the control log.
 */
package org.bramleyspur.daemon.session

import com.github.michaelbull.result.fold
import com.google.protobuf.ByteString
import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.state.Claim
import org.bramleyspur.control.state.ClaimKey
import org.bramleyspur.control.state.ClaimOutcome
import org.bramleyspur.control.state.ClaimResult
import org.bramleyspur.control.state.Complete
import org.bramleyspur.control.state.Completed
import org.bramleyspur.control.state.StoredResponse
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.member.cast
import org.bramleyspur.daemon.operator.finish
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.protocol.ClaimReply
import org.bramleyspur.protocol.ClaimRequest
import org.bramleyspur.protocol.CompleteReply
import org.bramleyspur.protocol.CompleteRequest
import org.bramleyspur.protocol.RecordedAnswer

/** Answers claims and records on the control thread. */
class ClaimService(private val node: ControlNode, private val wallClockMs: () -> Long) {
    /** Claims a call. */
    fun claim(request: ClaimRequest, reply: StreamObserver<ClaimReply>) {
        if (node.leadingTerm() == null) return reply.finish(unavailable(ClaimReply.State.NOT_LEADER))
        val command = Claim(
            key = ClaimKey(request.account, request.service, request.key),
            digest = request.digest,
            request = RequestId(request.request),
            incarnation = Incarnation(request.incarnation),
            agentAddress = request.agentAddress,
            retentionMs = request.retentionMs,
            claimedAtMs = wallClockMs(),
        )
        node.propose(command) { result ->
            reply.finish(result.cast<ClaimResult>().fold({ it.toReply() }, { it.toReply() }))
        }
    }

    /** Records the outcome of a claimed call. */
    fun complete(request: CompleteRequest, reply: StreamObserver<CompleteReply>) {
        if (node.leadingTerm() == null) return reply.finish(notRecorded(node.leaderAddress()))
        val key = ClaimKey(request.account, request.service, request.key)
        val held = node.state.claims.records[key]
        if (held == null || held.request.value != request.request) return reply.finish(notRecorded(""))
        node.propose(Complete(key, held.grant, request.toOutcome())) { result ->
            val answer = result.cast<Completed>()
            answer.fold(
                { reply.finish(CompleteReply.newBuilder().setRecorded(it.recorded).build()) },
                { reply.onError(Status.UNAVAILABLE.withDescription(it.message).asRuntimeException()) },
            )
        }
    }

    private fun CompleteRequest.toOutcome(): ClaimOutcome = when (outcome) {
        CompleteRequest.Outcome.ANSWERED -> ClaimOutcome.Responded(answer.toResponse())
        CompleteRequest.Outcome.NOT_RUN -> ClaimOutcome.NotRun
        else -> ClaimOutcome.Unknown
    }

    private fun ClaimResult.toReply(): ClaimReply {
        val reply = ClaimReply.newBuilder()
        when (this) {
            is ClaimResult.Granted -> reply.setState(ClaimReply.State.GRANTED)
            is ClaimResult.InProgress ->
                reply
                    .setState(ClaimReply.State.IN_PROGRESS)
                    .setRequest(request.value)
                    .setIncarnation(incarnation.value)
                    .setAgentAddress(agentAddress)
            is ClaimResult.Responded -> reply.setState(ClaimReply.State.ANSWERED).setAnswer(response.toMessage())
            is ClaimResult.DigestMismatch -> reply.setState(ClaimReply.State.DIGEST_MISMATCH)
            is ClaimResult.UnknownOutcome -> reply.setState(ClaimReply.State.UNKNOWN_OUTCOME)
        }
        return reply.build()
    }

    private fun ProposeError.toReply(): ClaimReply =
        unavailable(if (this is ProposeError.NotLeader) ClaimReply.State.NOT_LEADER else ClaimReply.State.UNAVAILABLE)

    private fun unavailable(state: ClaimReply.State): ClaimReply =
        ClaimReply.newBuilder().setState(state).setLeader(node.leaderAddress()).build()

    private fun notRecorded(leader: String): CompleteReply =
        CompleteReply.newBuilder().setRecorded(false).setLeader(leader).build()
}

private fun RecordedAnswer.toResponse() =
    StoredResponse(status, contentType, body.takeIf { bodyKept }, bodyBytes).withoutOversizedBody()

private fun StoredResponse.toMessage(): RecordedAnswer = RecordedAnswer
    .newBuilder()
    .setStatus(status)
    .setContentType(contentType)
    .setBody(body ?: ByteString.EMPTY)
    .setBodyKept(body != null)
    .setBodyBytes(bodyBytes)
    .build()
