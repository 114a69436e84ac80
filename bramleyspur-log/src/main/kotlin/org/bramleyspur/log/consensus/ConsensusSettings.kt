package org.bramleyspur.log.consensus

/**
 * Timing and sizes of the consensus rules. All members use the same values, since the leader's lease relies on the
 * minimum election timeout of the voters.
 *
 * @property heartbeatMs interval of the leader's rounds in milliseconds
 * @property electionMinMs shortest election timeout in milliseconds; a voter refuses votes for this long after it has
 * heard a leader
 * @property electionMaxMs longest election timeout in milliseconds
 * @property driftPercent allowance for the drift between two members' clocks, in percent of the measured time
 * @property batchEntries most entries in one append message
 * @property batchBytes payload bytes after which an append message is closed; also the longest payload of one entry
 * @property windowEntries most entries sent to a peer ahead of its acknowledgement
 * @property chunkBytes payload bytes of one snapshot chunk
 * @property trailingEntries entries kept below a snapshot for followers that are a little behind
 * @property caughtUpEntries largest distance from the end of the log at which a learner counts as caught up
 */
data class ConsensusSettings(
    val heartbeatMs: Long = 100,
    val electionMinMs: Long = 500,
    val electionMaxMs: Long = 1000,
    val driftPercent: Int = 1,
    val batchEntries: Int = 512,
    val batchBytes: Int = 1 shl 20,
    val windowEntries: Int = 4096,
    val chunkBytes: Int = 256 shl 10,
    val trailingEntries: Long = 1000,
    val caughtUpEntries: Long = 100,
) {
    init {
        require(heartbeatMs in 1 until electionMinMs) { "heartbeatMs must be positive and below electionMinMs" }
        require(electionMinMs <= electionMaxMs) { "electionMinMs must not exceed electionMaxMs" }
    }

    /** Length of the leader's lease in milliseconds, measured from the sending of an acknowledged round. */
    val leaseMs: Long get() = electionMinMs * PERCENT / (PERCENT + driftPercent)

    private companion object {
        const val PERCENT = 100
    }
}
