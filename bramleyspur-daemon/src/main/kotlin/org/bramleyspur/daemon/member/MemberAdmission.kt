package org.bramleyspur.daemon.member

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.daemon.process.openChannel
import org.bramleyspur.protocol.AdmissionReply
import org.bramleyspur.protocol.AdmissionRequest
import org.bramleyspur.protocol.DirectoryServiceGrpc

private val logger = KotlinLogging.logger {}

/** Requests admission of this control instance as a member of the log; confined to the thread of [group]. */
internal class MemberAdmission(private val group: EventLoopGroup, private val timers: TimerService) {
    private var leader: String? = null
    private var nextAddressIndex = 0

    /** Sends a request to the leader that the last reply named, or else to [addresses] in turn. */
    fun requestAdmission(member: String, self: String, addresses: Set<String>) {
        val others = addresses.filter { it != self }
        if (others.isEmpty()) return
        val address = leader ?: others[nextAddressIndex++ % others.size]
        leader = null
        val target = Address.parse(address).component1() ?: return
        val channel = openChannel(target, group)
        timers.after(CALL_TIMEOUT_MS) { channel.shutdownNow() }
        val request = AdmissionRequest.newBuilder().setMember(member).setAddress(self).build()
        DirectoryServiceGrpc.newStub(channel).admit(request, ReplyObserver(address, channel))
    }

    private inner class ReplyObserver(private val address: String, private val channel: ManagedChannel) :
        StreamObserver<AdmissionReply> {
        override fun onNext(reply: AdmissionReply) {
            leader = reply.leader.ifEmpty { if (reply.admitted) null else address }
        }

        override fun onError(cause: Throwable) {
            logger.debug { "admission request to $address failed: ${cause.message}" }
        }

        override fun onCompleted() {
            channel.shutdown()
        }
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 1_000L
    }
}
