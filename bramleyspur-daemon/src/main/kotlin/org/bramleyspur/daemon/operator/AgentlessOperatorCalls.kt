package org.bramleyspur.daemon.operator

import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.language.EvacuateDataCentre
import org.bramleyspur.language.Query
import org.bramleyspur.language.Show
import org.bramleyspur.language.Statement
import org.bramleyspur.language.Subject
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import java.time.Instant

/**
 * Operators' calls to a control instance without agents.
 *
 * @property dataCentres names of the known data centres; empty if they are not known
 * @property evacuationRevisions returns the revision of the evacuations that each entry has reported
 * @property node returns the member of the log, null if not open
 */
internal class AgentlessOperatorCalls(
    private val dataCentres: Set<String>,
    private val evacuationRevisions: () -> Map<String, Long>,
    private val node: () -> ControlNode?,
) : ControlServiceGrpc.ControlServiceImplBase() {
    private fun operatorService() = node()?.let { node ->
        OperatorService(node, System::currentTimeMillis, ::refusalOf) { live(node, it) }
    }

    private fun refusalOf(statement: Statement): String? {
        val name = (statement as? EvacuateDataCentre)?.dataCentre ?: return null
        if (dataCentres.isEmpty() || name in dataCentres) return null
        return "there is no data centre '$name'; name one of ${dataCentres.sorted().joinToString(", ")}"
    }

    private fun live(node: ControlNode, query: Query): LiveTable? {
        if ((query as? Show)?.subject != Subject.EVACUATIONS) return null
        val rows = node.state.evacuations.progress(evacuationRevisions()).map {
            listOf(
                it.dataCentre,
                Instant.ofEpochMilli(it.evacuation.startedAtMs).toString(),
                it.evacuation.revision.toString(),
                it.confirmedBy.toString(),
                it.missing.joinToString(", "),
            )
        }
        return LiveTable(listOf("data centre", "since", "revision", "confirmed by entries", "not confirmed by"), rows)
    }

    override fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        operatorService()?.submit(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
    }

    override fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) {
        operatorService()?.query(request, reply) ?: reply.onError(Status.UNAVAILABLE.asRuntimeException())
    }
}
