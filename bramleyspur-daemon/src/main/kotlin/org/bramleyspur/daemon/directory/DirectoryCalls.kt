package org.bramleyspur.daemon.directory

import com.github.michaelbull.result.fold
import io.grpc.stub.StreamObserver
import org.bramleyspur.control.member.Admission
import org.bramleyspur.control.member.admit
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.protocol.AdmissionReply
import org.bramleyspur.protocol.AdmissionRequest
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc

/** The directory's calls to a control instance; [node] returns its member of the log, null while that is not open. */
internal class DirectoryCalls(
    private val directory: ControlDirectory,
    private val log: DecisionLog,
    private val node: () -> ControlNode?,
) : DirectoryServiceGrpc.DirectoryServiceImplBase() {
    override fun watch(events: StreamObserver<DirectoryEvent>): StreamObserver<DirectoryRequest> =
        directory.watch(events)

    override fun admit(request: AdmissionRequest, reply: StreamObserver<AdmissionReply>) {
        val current = node()
        val message = AdmissionReply.newBuilder()
        if (current?.leadingTerm() != null) {
            when (val decision = admit(current.status(), request.member, request.address)) {
                Admission.Member -> message.setAdmitted(true)
                is Admission.Change -> {
                    log.write("admission", "member" to request.member, "change" to decision.change.toString())
                    current.changeMembership(decision.change) { result ->
                        log.write("admission-done", "outcome" to result.fold({ "done" }, { it.message }))
                    }
                }
            }
        } else {
            message.setLeader(current?.leaderAddress().orEmpty())
        }
        reply.onNext(message.build())
        reply.onCompleted()
    }
}
