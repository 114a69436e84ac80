package org.bramleyspur.cli

import io.grpc.Server
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import org.bramleyspur.protocol.ControlServiceGrpc
import org.bramleyspur.protocol.QueryReply
import org.bramleyspur.protocol.QueryRequest
import org.bramleyspur.protocol.SubmitReply
import org.bramleyspur.protocol.SubmitRequest
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A fake control instance on loopback whose replies a test sets. A null reply leaves the call open, and a thrown status
 * ends it.
 */
internal class FakeControlInstance : AutoCloseable {
    @Volatile
    var onSubmit: (SubmitRequest) -> SubmitReply? = { null }

    @Volatile
    var onQuery: (QueryRequest) -> QueryReply? = { null }

    val submitted = CopyOnWriteArrayList<SubmitRequest>()
    val queried = CopyOnWriteArrayList<String>()

    private val server: Server = NettyServerBuilder
        .forAddress(InetSocketAddress("127.0.0.1", 0))
        .addService(Service())
        .build()
        .start()

    val address get() = "127.0.0.1:${server.port}"

    override fun close() {
        server.shutdownNow().awaitTermination()
    }

    private inner class Service : ControlServiceGrpc.ControlServiceImplBase() {
        override fun submit(request: SubmitRequest, observer: StreamObserver<SubmitReply>) {
            submitted.add(request)
            reply(observer) { onSubmit(request) }
        }

        override fun query(request: QueryRequest, observer: StreamObserver<QueryReply>) {
            queried.add(request.statement)
            reply(observer) { onQuery(request) }
        }

        private fun <R> reply(observer: StreamObserver<R>, createReply: () -> R?) = try {
            createReply()?.let {
                observer.onNext(it)
                observer.onCompleted()
            }
        } catch (e: StatusRuntimeException) {
            observer.onError(e)
        }
    }
}

internal fun submitReply(
    outcome: SubmitReply.Outcome,
    revision: Long = 7,
    message: String = "",
    leader: String = "",
    repeated: Boolean = false,
): SubmitReply = SubmitReply
    .newBuilder()
    .setOutcome(outcome)
    .setRevision(revision)
    .setMessage(message)
    .setLeader(leader)
    .setRepeated(repeated)
    .build()

internal fun queryReply(columns: List<String>, vararg rows: List<String>): QueryReply = QueryReply
    .newBuilder()
    .setOutcome(QueryReply.Outcome.ANSWERED)
    .setRevision(7)
    .addAllColumns(columns)
    .addAllRows(rows.map { QueryReply.Row.newBuilder().addAllCells(it).build() })
    .build()
