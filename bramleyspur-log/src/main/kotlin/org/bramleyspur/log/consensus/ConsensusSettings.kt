package org.bramleyspur.log.consensus

/**
 * Timing and sizes of the consensus protocol. All members must use the same values, since the leader's lease relies on
 * the minimum election timeout of the voters.
 *
 * @property heartbeatIntervalMs interval of the leader's heartbeat rounds in milliseconds
 * @property minElectionTimeoutMs shortest election timeout in milliseconds; a voter refuses votes for this long after
 * hearing from a leader
 * @property maxElectionTimeoutMs longest election timeout in milliseconds
 * @property clockDriftPercent allowance for the drift between two members' clocks, in percent of the elapsed time
 * @property batchEntries maximum number of entries in one append message
 * @property batchBytes payload bytes after which no entry is added to an append message
 * @property maxEntryBytes maximum payload size of one entry
 * @property maxInFlightEntries maximum number of unacknowledged entries sent to a peer
 * @property maxInFlightBytes payload bytes sent to a peer without acknowledgement, after which no entry is sent
 * @property snapshotChunkBytes payload bytes of one snapshot chunk
 * @property trailingEntries entries kept before a snapshot, so that slightly lagging followers need no snapshot
 * @property trailingBytes maximum payload bytes of the trailing entries
 * @property maxLogBytes payload bytes held in memory above which a leader refuses proposals until a snapshot is saved
 * @property caughtUpLagEntries maximum lag at which a learner counts as caught up
 */
data class ConsensusSettings(
    val heartbeatIntervalMs: Long = 100,
    val minElectionTimeoutMs: Long = 500,
    val maxElectionTimeoutMs: Long = 1000,
    val clockDriftPercent: Int = 1,
    val batchEntries: Int = 512,
    val batchBytes: Int = 1 shl 20,
    val maxEntryBytes: Int = 1 shl 20,
    val maxInFlightEntries: Int = 4096,
    val maxInFlightBytes: Long = 4L shl 20,
    val snapshotChunkBytes: Int = 256 shl 10,
    val trailingEntries: Long = 1000,
    val trailingBytes: Long = 2L shl 20,
    val maxLogBytes: Long = 16L shl 20,
    val caughtUpLagEntries: Long = 100,
) {
    init {
        require(heartbeatIntervalMs in 1 until minElectionTimeoutMs) {
            "heartbeatIntervalMs must be positive and below minElectionTimeoutMs"
        }
        require(minElectionTimeoutMs <= maxElectionTimeoutMs) {
            "minElectionTimeoutMs must not exceed maxElectionTimeoutMs"
        }
    }

    /** Maximum payload bytes of an append message, to which an entry is added as long as it is below [batchBytes]. */
    val maxAppendBytes: Int get() = batchBytes + maxEntryBytes

    /** Duration of the leader's lease in milliseconds, from the time at which an acknowledged round was sent. */
    val leaseMs: Long get() = minElectionTimeoutMs * PERCENT / (PERCENT + clockDriftPercent)

    private companion object {
        const val PERCENT = 100
    }
}
