package org.bramleyspur.control.state

import com.google.protobuf.ByteString
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.Configuration
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Revision

/**
 * The replicated state of the control members.
 *
 * @property appliedIndex log index of the last applied command
 * @property previousVersions for each service, the version that served before the last finished roll-out
 * @property commands operators' commands by id, the oldest first
 * @property document active configuration document; null before the first one
 * @property evacuations data centres whose backend servers get no requests
 */
data class ControlState(
    val appliedIndex: Long = 0,
    val configuration: Configuration = Configuration(),
    val previousVersions: PersistentMap<String, String> = persistentMapOf(),
    val assignments: PersistentMap<ReplicaId, Assignment> = persistentMapOf(),
    val claims: ClaimTable = ClaimTable(),
    val commands: PersistentMap<String, CommandRecord> = persistentMapOf(),
    val document: StoredDocument? = null,
    val evacuations: Evacuations = Evacuations(),
)

/** A configuration document in the form in which it was accepted. */
data class StoredDocument(val version: Long, val content: ByteString)

/**
 * Record of an operators' command and its first result.
 *
 * @property revision revision of the change when [accepted], else the revision that was current
 * @property submittedAtMs wall-clock milliseconds of the leader
 * @property commandDigest digest of the expected revision and the statements
 * @property summary beginning of the statements
 */
data class CommandRecord(
    val accepted: Boolean,
    val revision: Revision,
    val message: String,
    val submittedAtMs: Long,
    val commandDigest: ByteString,
    val summary: String,
)
