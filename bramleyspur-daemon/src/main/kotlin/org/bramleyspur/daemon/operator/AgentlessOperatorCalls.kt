package org.bramleyspur.daemon.operator

import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest

/** Operators' calls to a control instance without agents; [node] returns its member of the log, null if not open. */
internal class AgentlessOperatorCalls(private val node: () -> ControlNode?) :
    ControlServiceGrpc.ControlServiceImplBase() {
    private fun operatorService() = node()?.let { OperatorService(it, System::currentTimeMillis) { null } }

    override fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        operatorService()?.submit(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
    }

    override fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) {
        operatorService()?.query(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
    }
}
