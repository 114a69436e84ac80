/*
 * An operator's client: submits commands under a command id until they have a final response, and queries the leader.
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

private const val CALL_TIMEOUT_MS = 1_500L
private const val RETRY_DELAY_MS = 20L
private const val RESPONSE_TIMEOUT_MS = 30_000L

/** A reply and the address of the member that sent it. */
internal class MemberReply<R>(val reply: R, val by: Address)

/** Client of one operator; it may be used by only one thread at a time. */
internal class OperatorClient(private val addresses: List<Address>) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val channels: Map<Address, ManagedChannel> = addresses.associateWith { openChannel(it, group) }
    private var memberIndex = 0

    /** Number of calls that were retried because the response was lost or the outcome was unavailable. */
    var retries = 0
        private set

    /** Submits [statements] under [commandId] until the response is final; returns null after [timeoutMs]. */
    fun submit(
        commandId: String,
        statements: String,
        expectedRevision: Long = 0,
        timeoutMs: Long = RESPONSE_TIMEOUT_MS,
    ): SubmitReply? {
        val request = SubmitRequest
            .newBuilder()
            .setCommandId(commandId)
            .setStatements(statements)
            .setExpectedRevision(expectedRevision)
            .build()
        return sendUntilFinal(timeoutMs, { it.submit(request) }) { reply ->
            when (reply.outcome) {
                SubmitReply.Outcome.ACCEPTED, SubmitReply.Outcome.REFUSED -> true
                SubmitReply.Outcome.UNAVAILABLE -> false.also { retries += 1 }
                else -> false
            }
        }?.reply
    }

    /** Queries the leader; returns null if none responds within [timeoutMs]. */
    fun query(statement: String, timeoutMs: Long = RESPONSE_TIMEOUT_MS): MemberReply<QueryReply>? {
        val request = QueryRequest.newBuilder().setStatement(statement).build()
        return sendUntilFinal(timeoutMs, { it.query(request) }) {
            it.outcome == QueryReply.Outcome.ANSWERED || it.outcome == QueryReply.Outcome.REFUSED
        }
    }

    /** Returns the cells of the rows in the response to [statement]. */
    fun rows(statement: String): List<List<String>> =
        checkNotNull(query(statement)) { "no leader answered: $statement" }.reply.rowsList.map { it.cellsList }

    /** Returns the address of the leader. */
    fun leader(): Address = checkNotNull(query("show control")) { "there is no leader" }.by

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun <R> sendUntilFinal(
        timeoutMs: Long,
        send: (ControlServiceGrpc.ControlServiceBlockingStub) -> R,
        final: (R) -> Boolean,
    ): MemberReply<R>? {
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (System.nanoTime() < deadline) {
            val address = addresses[memberIndex]
            val reply = sendOnce(address, send)
            if (reply != null && final(reply)) return MemberReply(reply, address)
            memberIndex = (memberIndex + 1) % addresses.size
            Thread.sleep(RETRY_DELAY_MS)
        }
        return null
    }

    private fun <R> sendOnce(address: Address, send: (ControlServiceGrpc.ControlServiceBlockingStub) -> R): R? {
        val channel = channels.getValue(address)
        channel.reconnectNow()
        return try {
            send(ControlServiceGrpc.newBlockingStub(channel).withDeadlineAfter(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS))
        } catch (_: StatusRuntimeException) {
            retries += 1
            null
        }
    }
}
