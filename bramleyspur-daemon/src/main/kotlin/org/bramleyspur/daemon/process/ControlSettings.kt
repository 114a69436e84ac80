package org.bramleyspur.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.combine
import com.github.michaelbull.result.map
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.settings.Setting
import org.bramleyspur.core.settings.choiceSetting
import org.bramleyspur.core.settings.numberSetting
import org.bramleyspur.core.settings.textSetting

/** Settings of the control role. */
object ControlSettings {
    val DATA_DIR =
        textSetting(
            "data-dir",
            "Data directory of the replicated log, whose content is durable only once synced.",
            "path",
        )
    val POLICY = choiceSetting(
        "policy",
        "Weighting of group downtime against stranded accelerators.",
        "ragusa",
        listOf("ragusa", "kerherve"),
    )
    val WEIGHT_LOADS = numberSetting(
        "max-weight-loads",
        "Replicas that load from the weight store at once.",
        "replicas",
        DEFAULT_WEIGHT_LOADS,
        1L..MAX_WEIGHT_LOADS,
    )

    val SNAPSHOT_ENTRIES = numberSetting(
        "snapshot-entries",
        "Applied log entries after which a snapshot is taken.",
        "entries",
        DEFAULT_SNAPSHOT_ENTRIES,
        MIN_SNAPSHOT_ENTRIES..MAX_SNAPSHOT_ENTRIES,
    )

    /** All settings of the role. */
    val ALL: List<Setting<*>> = CommonSettings.ALL + listOf(DATA_DIR, POLICY, WEIGHT_LOADS, SNAPSHOT_ENTRIES)

    private const val DEFAULT_WEIGHT_LOADS = 2L
    private const val MAX_WEIGHT_LOADS = 1_000L
    private const val DEFAULT_SNAPSHOT_ENTRIES = 10_000L
    private const val MIN_SNAPSHOT_ENTRIES = 10L
    private const val MAX_SNAPSHOT_ENTRIES = 1_000_000L
}

/** Settings of the one-time initialization of a data directory. */
object InitializeSettings {
    val MEMBER = textSetting("member", "Id of this member, one of --voters.", "id")
    val VOTERS: Setting<Map<String, Address>> =
        Setting("voters", "All first members of the log.", "ID=IP:PORT,...", null, ::parseVoters)

    /** All settings of the command. */
    val ALL: List<Setting<*>> = listOf(ControlSettings.DATA_DIR, MEMBER, VOTERS)

    private fun parseVoters(text: String): Result<Map<String, Address>, String> {
        val pairs = text.split(',').map { parseVoter(it) }.combine().map { it.toMap() }
        return if (pairs.isOk && pairs.component1()?.size !in 1..MAX_VOTERS) {
            Err("has a wrong number of members; give between 1 and $MAX_VOTERS")
        } else {
            pairs
        }
    }

    private fun parseVoter(text: String): Result<Pair<String, Address>, String> {
        val id = text.substringBefore('=', "").trim()
        if (id.isEmpty() || id.any { it.isWhitespace() }) return Err("has no member id; give ID=IP:PORT,...")
        return Address.parse(text.substringAfter('=').trim()).map { id to it }
    }

    private const val MAX_VOTERS = 7
}
