/*
 * Statements of operators, answered by the control leader.
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
import org.bramleyspur.language.SyntaxError
import org.bramleyspur.language.parse
import org.bramleyspur.log.consensus.ProposeError
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest

/** Rows that answer a query about what is running. */
data class LiveTable(val columns: List<String>, val rows: List<List<String>>)

/**
 * Answers operators on the control thread.
 *
 * @property liveQuery answers queries that concern sessions, replicas or members; null when the subject does not exist
 */
class OperatorService(
    private val node: ControlNode,
    private val wallClockMs: () -> Long,
    private val liveQuery: (Query) -> LiveTable?,
) {
    /** Submits commands. */
    fun submit(request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        if (node.leadingTerm() == null) return reply.finish(notLeader())
        val member = parse(request.statements).getOrElse { emptyList() }.singleOrNull() as? MemberCommand
        if (member == null) submitConfiguration(request, reply) else changeMembers(member, request, reply)
    }

    private fun changeMembers(command: MemberCommand, request: SubmitRequest, reply: StreamObserver<SubmitReply>) {
        val decision = if (request.expectedRevision == 0L) {
            decide(command, node.status())
        } else {
            MemberDecision.Refuse("the control members have no revision; leave the expected revision out")
        }
        carryOut(decision, node::changeMembership) { answer ->
            reply.finish(answer.setRevision(node.state.configuration.revision.value).build())
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

    /** Answers one query. */
    fun query(request: QueryRequest, reply: StreamObserver<QueryReply>) {
        if (node.leadingTerm() == null) {
            val notLeader = QueryReply.newBuilder().setOutcome(QueryReply.Outcome.NOT_LEADER)
            return reply.finish(notLeader.setLeader(node.leaderAddress()).build())
        }
        val statements = parse(request.statement).getOrElse { return reply.finish(refused(it.text())) }
        val query = statements.singleOrNull() as? Query
            ?: return reply.finish(refused("exactly one query is expected; submit commands separately"))
        reply.finish(answer(query))
    }

    private fun answer(query: Query): QueryReply = when (val answer = node.state.execute(query)) {
        is QueryResult.Table -> table(answer.columns, answer.rows.map { it.cells })
        is QueryResult.Refused -> refused(answer.message)
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

    /** Only an error that proves that nothing was appended is told as such; all others leave the outcome open. */
    private fun ProposeError.toReply(): SubmitReply {
        if (this is ProposeError.NotLeader) return notLeader()
        val outcome = SubmitReply.newBuilder().setMessage(message)
        val refusedForGood = this is ProposeError.TooLarge
        return outcome
            .setOutcome(if (refusedForGood) SubmitReply.Outcome.REFUSED else SubmitReply.Outcome.UNAVAILABLE)
            .build()
    }

    private fun notLeader(): SubmitReply = SubmitReply
        .newBuilder()
        .setOutcome(SubmitReply.Outcome.NOT_LEADER)
        .setLeader(node.leaderAddress())
        .build()
}

/** Sends the one reply of a call. */
internal fun <T> StreamObserver<T>.finish(reply: T) {
    onNext(reply)
    onCompleted()
}
