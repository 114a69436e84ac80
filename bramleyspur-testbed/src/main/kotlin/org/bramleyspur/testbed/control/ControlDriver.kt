/*
 * An operator's client: submits commands under their identity until they are answered, and asks the leader.
 */
package org.bramleyspur.testbed.control

import io.grpc.ManagedChannel
import io.grpc.StatusRuntimeException
import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.daemon.process.reconnectNow
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import java.util.concurrent.TimeUnit

private const val ATTEMPT_MS = 1_500L
private const val PAUSE_MS = 20L
private const val ANSWER_LIMIT_MS = 30_000L

/** A reply and the member that gave it. */
internal class Answered<R>(val reply: R, val by: Address)

/** One operator; a driver is used by one thread at a time. */
internal class ControlDriver(private val addresses: List<Address>) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val channels: Map<Address, ManagedChannel> = addresses.associateWith { openChannel(it, group) }
    private var target = 0

    /** Calls that were sent again since an answer was lost or left open. */
    var resends = 0
        private set

    /** Submits [statements] under [id], again and again until it is answered; null when the limit has passed. */
    fun submit(id: String, statements: String, expected: Long = 0, limitMs: Long = ANSWER_LIMIT_MS): SubmitReply? {
        val request = SubmitRequest
            .newBuilder()
            .setCommandId(id)
            .setStatements(statements)
            .setExpectedRevision(expected)
            .build()
        return untilAnswered(limitMs, { it.submit(request) }) { reply ->
            when (reply.outcome) {
                SubmitReply.Outcome.ACCEPTED, SubmitReply.Outcome.REFUSED -> true
                SubmitReply.Outcome.UNAVAILABLE -> false.also { resends += 1 }
                else -> false
            }
        }?.reply
    }

    /** Asks the leader; null when none answers within [limitMs]. */
    fun query(statement: String, limitMs: Long = ANSWER_LIMIT_MS): Answered<QueryReply>? {
        val request = QueryRequest.newBuilder().setStatement(statement).build()
        return untilAnswered(limitMs, { it.query(request) }) {
            it.outcome == QueryReply.Outcome.ANSWERED || it.outcome == QueryReply.Outcome.REFUSED
        }
    }

    /** Cells of the rows that answer [statement]. */
    fun rows(statement: String): List<List<String>> =
        checkNotNull(query(statement)) { "no leader answered: $statement" }.reply.rowsList.map { it.cellsList }

    /** Address of the leader. */
    fun leader(): Address = checkNotNull(query("show control")) { "there is no leader" }.by

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun <R> untilAnswered(
        limitMs: Long,
        send: (ControlServiceGrpc.ControlServiceBlockingStub) -> R,
        final: (R) -> Boolean,
    ): Answered<R>? {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs)
        while (System.nanoTime() < end) {
            val address = addresses[target]
            val reply = attempt(address, send)
            if (reply != null && final(reply)) return Answered(reply, address)
            target = (target + 1) % addresses.size
            Thread.sleep(PAUSE_MS)
        }
        return null
    }

    private fun <R> attempt(address: Address, send: (ControlServiceGrpc.ControlServiceBlockingStub) -> R): R? {
        val channel = channels.getValue(address)
        channel.reconnectNow()
        return try {
            send(ControlServiceGrpc.newBlockingStub(channel).withDeadlineAfter(ATTEMPT_MS, TimeUnit.MILLISECONDS))
        } catch (_: StatusRuntimeException) {
            resends += 1
            null
        }
    }
}
