/*
 * The members of the log. Votes belong to member ids and not to addresses, so that a member whose disk was emptied
 * comes back under a new id and has no vote until it is promoted. One member changes at a time, since the majorities of
 * two adjacent memberships then always share a member.
 */
package org.bramleyspur.log.consensus

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** Largest number of voters. */
const val MAX_VOTERS = 7

/**
 * Members by id, with the `host:port` at which their peers reach them.
 *
 * @property voters members that count towards majorities
 * @property learners members that receive the log and do not vote
 * @property replacements id of a new member to the id of the member that it replaces
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
        /** Reads lines of role, id, address and, for a replacement, the replaced id. */
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
     * Adds a member without a vote. With [replaces], the leader exchanges the two when the new member has caught up:
     * it promotes the new one and removes that member, in the order that is safe for the old one's state.
     */
    data class AddLearner(val id: String, val address: String, val replaces: String? = null) : MembershipChange

    /** Gives a learner that has caught up a vote. */
    data class Promote(val id: String) : MembershipChange

    /** Removes a voter or learner. */
    data class Remove(val id: String) : MembershipChange
}

/** Why a proposal or a change of the membership has no index. */
sealed interface ProposeError {
    /** Text for operators; names the remedy. */
    val message: String

    /** The entry was not appended: this member does not lead. */
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

    /** The log has been closed. */
    data object Closed : ProposeError {
        override val message get() = "the log has been closed; ask another control instance"
    }

    /** Another change, or the leader's first entry, is not committed yet. */
    data object ChangeInProgress : ProposeError {
        override val message get() = "another membership change is in progress; repeat this one when it is done"
    }

    /** The change does not fit the members. */
    data class InvalidChange(override val message: String) : ProposeError
}

/** The member that leads, with the `host:port` of its peer listener. */
data class Leader(val id: String, val address: String)
