/*
 * Executes operators' statements on the control leader.
 */
package org.bramleyspur.daemon.operator

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.state.QueryResult
import org.bramleyspur.control.state.Submit
import org.bramleyspur.control.state.SubmitResult
import org.bramleyspur.control.state.execute
import org.bramleyspur.core.model.Revision
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.member.cast
import org.bramleyspur.language.MemberCommand
import org.bramleyspur.language.Query
import org.bramleyspur.language.Statement
import org.bramleyspur.language.SyntaxError
import org.bramleyspur.language.parse
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest

/** Result of a query about running processes. */
data class LiveTable(val columns: List<String>, val rows: List<List<String>>)

/**
 * Serves operators' calls on the control thread.
 *
 * @property refusalOf why a statement is refused that this deployment cannot carry out; null if it can
 * @property liveQuery executes queries about sessions, replicas or members; null when the subject does not exist
 */
class OperatorService(
    private val node: ControlNode,
    private val wallClockMs: () -> Long,
    private val refusalOf: (Statement) -> String?,
    private val liveQuery: (Query) -> LiveTable?,
) {
    /** Executes the commands of [request]: a single member command, or commands that change the configuration. */
    fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        if (node.leadingTerm() == null) return reply.finish(notLeader())
        val statements = parse(request.statements).getOrElse { emptyList() }
        statements.firstNotNullOfOrNull(refusalOf)?.let {
            return reply.finish(SubmitResult(false, node.state.configuration.revision, it).toReply())
        }
        val memberCommand = statements.singleOrNull() as? MemberCommand
        if (memberCommand == null) submitConfiguration(request, reply) else changeMembers(memberCommand, request, reply)
    }

    private fun changeMembers(command: MemberCommand, request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        val decision = if (request.expectedRevision == 0L) {
            decide(command, node.status())
        } else {
            MemberDecision.Refuse("the control members have no revision; leave the expected revision out")
        }
        execute(decision, node::changeMembership) { result ->
            reply.finish(result.setRevision(node.state.configuration.revision.value).build())
        }
    }

    private fun submitConfiguration(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        val command = Submit(
            request.commandId,
            Revision(request.expectedRevision),
            request.statements,
            wallClockMs(),
        )
        node.propose(command) { result ->
            reply.finish(result.cast<SubmitResult>().fold({ it.toReply() }, { it.toReply() }))
        }
    }

    /** Executes a single query. */
    fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) {
        if (node.leadingTerm() == null) {
            val notLeader = QueryReply.newBuilder().setOutcome(QueryReply.Outcome.NOT_LEADER)
            return reply.finish(notLeader.setLeader(node.leaderAddress()).build())
        }
        val statements = parse(request.statement).getOrElse { return reply.finish(refused(it.text())) }
        val query = statements.singleOrNull() as? Query
            ?: return reply.finish(refused("exactly one query is expected; submit commands separately"))
        reply.finish(replyTo(query))
    }

    private fun replyTo(query: Query): QueryReply = when (val result = node.state.execute(query)) {
        is QueryResult.Table -> table(result.columns, result.rows.map { it.cells })
        is QueryResult.Refused -> refused(result.message)
        is QueryResult.NotInState -> {
            val live = liveQuery(query)
            if (live == null) refused("nothing is known of it; show services lists what exists") else live.toReply()
        }
    }

    private fun LiveTable.toReply() = table(columns, rows)

    private fun table(columns: List<String>, rows: List<List<String>>): QueryReply = QueryReply
        .newBuilder()
        .setOutcome(QueryReply.Outcome.ANSWERED)
        .addAllColumns(columns)
        .addAllRows(rows.map { QueryReply.Row.newBuilder().addAllCells(it).build() })
        .setRevision(node.state.configuration.revision.value)
        .build()

    private fun refused(message: String): QueryReply = QueryReply
        .newBuilder()
        .setOutcome(QueryReply.Outcome.REFUSED)
        .setMessage(message)
        .setRevision(node.state.configuration.revision.value)
        .build()

    private fun SyntaxError.text() = "line $line, column $column: $message"

    private fun SubmitResult.toReply(): SubmitReply = SubmitReply
        .newBuilder()
        .setOutcome(if (accepted) SubmitReply.Outcome.ACCEPTED else SubmitReply.Outcome.REFUSED)
        .setRevision(revision.value)
        .setMessage(message)
        .setRepeated(repeated)
        .build()

    /** Only an error that proves that nothing was appended is a refusal; all others leave the outcome open. */
    private fun ProposeError.toReply(): SubmitReply {
        if (this is ProposeError.NotLeader) return notLeader()
        val reply = SubmitReply.newBuilder().setMessage(message)
        val refused = this is ProposeError.TooLarge
        return reply
            .setOutcome(if (refused) SubmitReply.Outcome.REFUSED else SubmitReply.Outcome.UNAVAILABLE)
            .build()
    }

    private fun notLeader(): SubmitReply = SubmitReply
        .newBuilder()
        .setOutcome(SubmitReply.Outcome.NOT_LEADER)
        .setLeader(node.leaderAddress())
        .build()
}

/** Sends [reply] and completes the call. */
internal fun <T> StreamObserver<T>.finish(reply: T) {
    onNext(reply)
    onCompleted()
}
