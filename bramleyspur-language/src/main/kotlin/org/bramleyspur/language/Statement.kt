/*
 * Statements of the operators' language, as the grammar reads them. Commands change the configuration, member commands
 * the members of the control log; queries ask about them and about what is running.
 */
package org.bramleyspur.language

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf

/** One statement. */
sealed interface Statement

/** A statement that changes the configuration. */
sealed interface Command : Statement

/** A statement that changes the members of the control log, which is no part of the configuration. */
sealed interface MemberCommand : Statement

/** A statement that only reads. */
sealed interface Query : Statement

/** Properties of a service that a statement sets; null leaves a property as it is or at its default. */
data class ServiceProperties(
    val model: String? = null,
    val version: String? = null,
    val adapters: ImmutableList<String>? = null,
    val instancesPerReplica: Int? = null,
    val placements: ImmutableMap<String, Int>? = null,
    val accounts: ImmutableList<String>? = null,
    val nonIdempotent: Boolean? = null,
    val idempotencyRetentionMs: Long? = null,
    val timeoutMs: Long? = null,
)

/** Properties of a client account that a statement sets; null leaves a property as it is or at its default. */
data class AccountProperties(
    val keyDigest: String? = null,
    val maxConcurrent: Int? = null,
    val weight: Int? = null,
    val priority: Int? = null,
    val patienceMs: Long? = null,
)

/** Creates a service; fails when the name is taken. [plain] distinguishes plain services from model services. */
data class CreateService(val name: String, val plain: Boolean, val properties: ServiceProperties) : Command

/** Changes the given properties of a service. */
data class AlterService(val name: String, val properties: ServiceProperties) : Command

/** Removes a service. */
data class DropService(val name: String) : Command

/** Creates a client account; fails when the name is taken. */
data class CreateAccount(val name: String, val properties: AccountProperties) : Command

/** Changes the given properties of a client account. */
data class AlterAccount(val name: String, val properties: AccountProperties) : Command

/** Removes a client account that no service names. */
data class DropAccount(val name: String) : Command

/** Takes an instance out of use. */
data class DrainInstance(val instance: String) : Command

/** Puts a drained instance back into use. */
data class ReturnInstance(val instance: String) : Command

/** Starts to move a service to another version, replica by replica. */
data class RollOut(val service: String, val version: String) : Command

/** Ends a roll-out and returns to the version that served before it. */
data class RollBack(val service: String) : Command

/**
 * Admits the control member [id] at [address] (`IP:PORT`), which votes once it has caught up.
 *
 * @property inPlaceOf member that leaves in exchange, null for none
 */
data class AdmitControl(val id: String, val address: String, val inPlaceOf: String? = null) : MemberCommand

/** Removes the control member [id]. */
data class RemoveControl(val id: String) : MemberCommand

/** What a `show` query lists. */
enum class Subject {
    SERVICES,
    REPLICAS,
    INSTANCES,
    ACCOUNTS,
    CHANGES,
    CONTROL,

    /** Statements that recreate the configuration. */
    CONFIGURATION,
}

/** Lists [subject], of one service when [service] is given. */
data class Show(val subject: Subject, val service: String? = null) : Query

/** Tells where the change with this revision is in force and which processes are missing. */
data class ShowChange(val revision: Long) : Query

/** Tells why a service does not have the replicas that it should have. */
data class Why(val service: String) : Query

/** A part of the language's text that could not be read. [column] and [line] count from 1. */
data class SyntaxError(
    val line: Int,
    val column: Int,
    val message: String,
    val expected: ImmutableList<String> = persistentListOf(),
)
