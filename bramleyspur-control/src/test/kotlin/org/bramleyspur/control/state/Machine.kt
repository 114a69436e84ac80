/*
 * Test support: a state machine that increments the log index, and factory functions for commands.
 */
package org.bramleyspur.control.state

import com.github.michaelbull.result.get
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.RequestId
import org.bramleyspur.core.model.Revision

internal const val HOUR_MS = 3_600_000L

/** A state machine at [state]; each command takes the next log index. */
internal class Machine(var state: ControlState = ControlState()) {
    fun apply(command: ControlCommand): CommandResult {
        val applied = apply(state, state.appliedIndex + 1, command)
        state = applied.state
        return applied.result
    }

    fun submit(statements: String, id: String = "id${state.appliedIndex}", expected: Long = 0, atMs: Long = 0) =
        apply(Submit(id, Revision(expected), statements, atMs)) as SubmitResult

    /** Submits statements and fails if they are not accepted. */
    fun accepted(statements: String): SubmitResult = submit(statements).also { check(it.accepted) { it.message } }

    fun claim(claim: Claim) = apply(claim) as ClaimResult

    fun complete(grant: Long, outcome: ClaimOutcome, key: ClaimKey = claimKey) =
        (apply(Complete(key, grant, outcome)) as Completed).recorded

    /** Replaces the state by one restored from its snapshot. */
    fun restart() {
        state = checkNotNull(decodeSnapshot(state.encodeSnapshot()).get())
    }

    companion object {
        /** A machine with the account `kitchen` and the services `recipes` and `book`. */
        fun ready() = Machine().apply { accepted(READY) }
    }
}

internal fun key(digit: Char) = digit.toString().repeat(64)

internal val READY = """
    create account kitchen key sha256 '${key('a')}' limit 100;
    create service recipes model 'sausage-7b' version 'v1' instances 2 replicas dc1 2 accounts kitchen;
    create service book plain accounts kitchen non idempotent
""".trimIndent()

internal val claimKey = ClaimKey("kitchen", "book", "k1")

internal fun claim(
    request: String,
    atMs: Long = 0,
    digest: String = "d1",
    incarnation: String = "a1",
    key: ClaimKey = claimKey,
    retentionMs: Long = 24 * HOUR_MS,
) = Claim(
    key,
    ByteString.copyFromUtf8(digest),
    RequestId(request),
    Incarnation(incarnation),
    "127.0.0.1:1",
    retentionMs,
    atMs,
)

internal fun response(body: String, status: Int = 200) =
    StoredResponse.of(status, "text/plain", ByteString.copyFromUtf8(body))

internal fun assignment(
    replica: String,
    vararg instances: String,
    version: String = "v1",
    service: String = "recipes",
) = AssignmentDefinition(
    ReplicaId(replica),
    service,
    "sausage-7b",
    version,
    persistentListOf(),
    instances.map { Member(InstanceName(it), "$it:1") }.toImmutableList(),
)

internal fun assign(vararg definitions: AssignmentDefinition) = Assign(definitions.toList().toImmutableList())

internal fun end(replica: String, fencingNumber: Long) = EndAssignment(ReplicaId(replica), FencingNumber(fencingNumber))
