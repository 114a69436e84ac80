/*
 * Membership of the log. Votes belong to member ids, not to addresses: a member that lost its disk rejoins under a new
 * id and has no vote until it is promoted. Only one member changes at a time, so that any majority of the old
 * membership and any majority of the new one share a member.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** Maximum number of voters. */
const val MAX_VOTERS = 7

/**
 * Members by id, with the `host:port` of their peer listener.
 *
 * @property voters members that count towards majorities
 * @property learners non-voting members that receive the log
 * @property replacements ids of the members to be replaced, by the id of the new member
 */
data class Membership(
    val voters: PersistentMap<String, String> = persistentMapOf(),
    val learners: PersistentMap<String, String> = persistentMapOf(),
    val replacements: PersistentMap<String, String> = persistentMapOf(),
) {
    /** Number of voters that form a majority. */
    val majority: Int get() = voters.size / 2 + 1

    /** Returns the `host:port` of a member, or null for an unknown id. */
    fun address(id: String): String? = voters[id] ?: learners[id]

    internal fun ids(): Set<String> = voters.keys + learners.keys

    internal fun encode(): ByteArray = (voterLines() + learnerLines()).joinToString("\n").encodeToByteArray()

    internal fun voterLines(): List<String> = voters.map { (id, address) -> line("voter", id, address) }

    internal fun learnerLines(): List<String> = learners.map { (id, address) -> line("learner", id, address) }

    private fun line(role: String, id: String, address: String): String =
        listOfNotNull(role, id, address, replacements[id]).joinToString(" ")

    internal companion object {
        /** Parses lines of role, id, address and, for a replacement, the id of the replaced member. */
        fun decode(lines: List<String>): Membership {
            val words = lines.map { it.split(' ') }.filter { it.size >= 3 }
            return Membership(
                words.filter { it[0] == "voter" }.associate { it[1] to it[2] }.toPersistentMap(),
                words.filter { it[0] == "learner" }.associate { it[1] to it[2] }.toPersistentMap(),
                words.filter { it.size > 3 }.associate { it[1] to it[3] }.toPersistentMap(),
            )
        }

        fun decode(bytes: ByteArray): Membership = decode(bytes.decodeToString().split('\n'))
    }
}

/** A change of the membership. */
sealed interface MembershipChange {
    /**
     * Adds a non-voting member. With [replaces], the leader promotes the new member once it has caught up and removes
     * the replaced one, in the order that is safe depending on whether the replaced member still responds.
     */
    data class AddLearner(val id: String, val address: String, val replaces: String? = null) : MembershipChange

    /** Makes a caught-up learner a voter. */
    data class Promote(val id: String) : MembershipChange

    /** Removes a voter or learner. */
    data class Remove(val id: String) : MembershipChange
}

/** Why a proposal or a membership change failed or has an unknown outcome. */
sealed interface ProposeError {
    /** Message for operators, including the remedy. */
    val message: String

    /** The entry was not appended, since this member is not the leader. */
    data class NotLeader(val leader: Leader?) : ProposeError {
        override val message get() = "this member does not lead; ask ${leader?.address ?: "again after the election"}"
    }

    /** Leadership ended before the entry was known to be committed; it may yet be committed. */
    data object OutcomeUnknown : ProposeError {
        override val message get() = "leadership ended before the commit; look the command up under its identity"
    }

    /** The payload is longer than [limitBytes]. */
    data class TooLarge(val limitBytes: Int) : ProposeError {
        override val message get() = "the payload exceeds $limitBytes bytes; split the command"
    }

    /** The entry was not appended, since the log holds too many bytes that no snapshot covers. */
    data object Overloaded : ProposeError {
        override val message get() = "the log has too many bytes that are not in a snapshot yet; send the command again"
    }

    /** The log has been closed. */
    data object Closed : ProposeError {
        override val message get() = "the log has been closed; ask another control instance"
    }

    /** Another change, or the first entry of the leader's term, is not committed yet. */
    data object ChangeInProgress : ProposeError {
        override val message get() = "another membership change is in progress; repeat this one when it is done"
    }

    /** The change is not valid for the current membership. */
    data class InvalidChange(override val message: String) : ProposeError
}

/** The current leader, with the `host:port` of its peer listener. */
data class Leader(val id: String, val address: String)
