/*
 * Statements of the operators' language. Commands change the configuration, and member commands change the members of
 * the control log. Queries read both, and the state of the running system.
 */
package org.bramleyspur.language

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf

sealed interface Statement

/** A statement that changes the configuration. */
sealed interface Command : Statement

/** A statement that changes the members of the control log, which are not part of the configuration. */
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

/** Creates a service; fails if the name exists. [plain] distinguishes plain services from model services. */
data class CreateService(val name: String, val plain: Boolean, val properties: ServiceProperties) : Command

/** Changes the given properties of a service. */
data class AlterService(val name: String, val properties: ServiceProperties) : Command

/** Removes a service. */
data class DropService(val name: String) : Command

/** Creates a client account; fails if the name exists. */
data class CreateAccount(val name: String, val properties: AccountProperties) : Command

/** Changes the given properties of a client account. */
data class AlterAccount(val name: String, val properties: AccountProperties) : Command

/** Removes a client account that no service refers to. */
data class DropAccount(val name: String) : Command

/** Takes an instance out of use. */
data class DrainInstance(val instance: String) : Command

/** Puts a drained instance back into use. */
data class ReturnInstance(val instance: String) : Command

/** Begins the evacuation of a data centre: its backend servers get no more requests. */
data class EvacuateDataCentre(val dataCentre: String) : Command

/** Ends the evacuation of a data centre. */
data class ReturnDataCentre(val dataCentre: String) : Command

/** Starts to move a service to another version, replica by replica. */
data class RollOut(val service: String, val version: String) : Command

/** Ends a roll-out and returns to the version that the service had before it. */
data class RollBack(val service: String) : Command

/**
 * Adds the control member [id] at [address] (`IP:PORT`) to the log; it becomes a voter once it has caught up.
 *
 * @property replacedMember member that the new one replaces, null for none
 */
data class AdmitControl(val id: String, val address: String, val replacedMember: String? = null) : MemberCommand

/** Removes the control member [id] from the log. */
data class RemoveControl(val id: String) : MemberCommand

/** What a `show` query lists. */
enum class Subject {
    SERVICES,
    REPLICAS,
    INSTANCES,
    ACCOUNTS,
    CHANGES,
    CONTROL,
    EVACUATIONS,

    /** Statements that recreate the configuration. */
    CONFIGURATION,
}

/** Lists [subject], only for [service] if it is given. */
data class Show(val subject: Subject, val service: String? = null) : Query

/** Reports whether the change with this revision is in force, and which processes do not have it yet. */
data class ShowChange(val revision: Long) : Query

/** Explains why a service has fewer replicas than its configuration asks for. */
data class Why(val service: String) : Query

/** A syntax error in a text of statements. [line] and [column] count from 1. */
data class SyntaxError(
    val line: Int,
    val column: Int,
    val message: String,
    val expected: ImmutableList<String> = persistentListOf(),
)
