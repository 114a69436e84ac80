/*
 * A member of the replicated control log of a deployment without agents: opens the log, opens it again after a failure
 * of the disk, and asks for its admission. Confined to the control thread.
 */
package org.bramleyspur.daemon.member

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.netty.channel.EventLoopGroup
import org.bramleyspur.control.member.needsAdmission
import org.bramleyspur.control.member.nextMembershipChange
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.log.storage.FileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.bramleyspur.log.storage.StorageError
import org.bramleyspur.protocol.ConsensusMessage
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * What a [LogMember] needs to know of its process.
 *
 * @property address `host:port` for the other processes of the system
 * @property seeds `host:port` of the first members
 * @property bootstrap whether the whole system starts for the first time
 * @property voterCount number of voters that the log should have
 */
internal class LogMemberSettings(
    val address: String,
    val dataDir: String,
    val seeds: List<String>,
    val bootstrap: Boolean,
    val voterCount: Int,
)

/**
 * This process's member of the control log.
 *
 * @property control thread of the control state
 * @property openDirectory opens the data directory; may throw
 * @property controlAddresses `host:port` of the control instances that are known besides the seeds
 */
internal class LogMember(
    private val settings: LogMemberSettings,
    private val group: EventLoopGroup,
    private val timers: TimerService,
    private val log: DecisionLog,
    private val openDirectory: (Path) -> FileSystem,
    private val listener: ControlNodeListener,
    private val controlAddresses: () -> Collection<String>,
) {
    private val control = group.next()
    private val storageThread = Executors.newSingleThreadExecutor { Thread(it, "log-storage") }
    private val transport = PeerTransport(group)
    private val admission = MemberAdmission(group, timers)

    /** The open log; null until it is open, and after a failure of the disk. */
    var node: ControlNode? = null
        private set

    /** Id of the member; empty until the log has been opened once. */
    var id = ""
        private set

    /** Opens the log and starts to ask for the admission that this member may need. */
    fun start() {
        openLog()
        timers.every(ADMISSION_INTERVAL_MS) { requestAdmissionIfNeeded() }
    }

    /**
     * Opens the log on the storage thread, and retries after a failure, since a full or stalled disk must not cause a
     * crash loop. Until the log is open, this instance has no vote and serves no operator calls.
     */
    private fun openLog() {
        storageThread.execute {
            val opened = openStorage()
            control.execute {
                opened.fold({ startNode(it) }, { reopenLog(it) })
            }
        }
    }

    private fun reopenLog(reason: String) {
        log.write("log-not-open", "reason" to reason, "retry_ms" to LOG_REOPEN_DELAY_MS)
        timers.after(LOG_REOPEN_DELAY_MS) { openLog() }
    }

    // Any operation on a directory of a failed disk can throw, and reading a large log can exhaust the memory.
    @Suppress("TooGenericExceptionCaught")
    private fun openStorage(): Result<LogStorage, String> = try {
        LogStorage.open(openDirectory(Path.of(settings.dataDir)), firstStart()).mapError { it.message }
    } catch (e: Throwable) {
        Err(e.toString())
    }

    private fun firstStart(): FirstStart {
        val self = settings.address
        return if (settings.bootstrap && self in settings.seeds) {
            FirstStart.Bootstrap(self, settings.seeds.associateWith { it })
        } else {
            FirstStart.Join
        }
    }

    @Suppress("TooGenericExceptionCaught") // Restoring a large state can exhaust the memory.
    private fun startNode(storage: LogStorage) {
        id = storage.memberId
        val startedNode = ControlNode(
            storage,
            settings.address,
            control,
            timers,
            storageThread,
            transport,
            listener,
            SNAPSHOT_ENTRIES,
            ::onStorageFailure,
        ) { nextMembershipChange(it, settings.voterCount) }
        node = startedNode
        try {
            startedNode.start()
        } catch (e: Throwable) {
            node = null
            storageThread.execute { storage.close() }
            return reopenLog(e.toString())
        }
        log.write("log-open", "member" to id, "document" to (startedNode.state.document?.version ?: 0L))
    }

    private fun onStorageFailure(error: StorageError) {
        log.write("log-failed", "reason" to error.message, "retry_ms" to LOG_REOPEN_DELAY_MS)
        node = null
        timers.after(LOG_REOPEN_DELAY_MS) { openLog() }
    }

    /** Handles a message of another member. */
    fun receive(message: ConsensusMessage) {
        transport.onMessageFrom(message.fromAddress)
        node?.receive(message)
    }

    /** `host:port` of the members of the log, as far as this member knows. */
    fun memberAddresses(): List<String> = node?.status()?.members?.map { it.address }.orEmpty()

    private fun requestAdmissionIfNeeded() {
        val current = node ?: return
        if (!needsAdmission(current.status())) return
        admission.requestAdmission(id, settings.address, controlAddresses().toSet() + settings.seeds)
    }

    /** Closes the log; runs on the control thread. */
    fun closeLog() {
        node?.close()
    }

    /** Waits for the end of the storage and closes the connections to other members; not on the control thread. */
    fun close() {
        storageThread.shutdown()
        storageThread.awaitTermination(STORAGE_CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        transport.close()
    }

    private companion object {
        const val ADMISSION_INTERVAL_MS = 500L
        const val LOG_REOPEN_DELAY_MS = 1_000L
        const val SNAPSHOT_ENTRIES = 200L
        const val STORAGE_CLOSE_TIMEOUT_MS = 1_000L
    }
}
