package org.bramleyspur.control.state

import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.RequestId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against executing a non-idempotent call twice, and against losing its recorded response. */
class ClaimTableTest {
    private val machine = Machine()
    private val held = ClaimResult.InProgress(1, RequestId("r1"), Incarnation("a1"), "127.0.0.1:1")
    private val unknown = ClaimResult.UnknownOutcome(RequestId("r1"), Incarnation("a1"), "127.0.0.1:1")

    @Test
    fun `a claim is granted once, and not again to its own resend`() {
        expectThat(machine.claim(claim("r1"))).isEqualTo(ClaimResult.Granted(1))
        expectThat(machine.claim(claim("r1"))).isEqualTo(held)
        expectThat(machine.claim(claim("r2", incarnation = "a2"))).isEqualTo(held)
        expectThat(machine.claim(claim("r3", digest = "d2"))).isEqualTo(ClaimResult.DigestMismatch)
        expectThat(machine.claim(claim("r4", key = claimKey.copy(account = "other")))).isEqualTo(ClaimResult.Granted(5))
    }

    @Test
    fun `a completed claim returns its response to every resend`() {
        machine.claim(claim("r1"))
        expectThat(machine.complete(1, ClaimOutcome.Responded(response("saved", 201)))).isTrue()
        expectThat(machine.complete(1, ClaimOutcome.Responded(response("other")))).isTrue()
        expectThat(machine.complete(1, ClaimOutcome.NotRun)).isFalse()
        expectThat(machine.complete(1, ClaimOutcome.Unknown)).isFalse()
        expectThat(machine.claim(claim("r2"))).isEqualTo(ClaimResult.Responded(response("saved", 201)))
        expectThat(machine.claim(claim("r3", digest = "d2"))).isEqualTo(ClaimResult.DigestMismatch)
    }

    @Test
    fun `a claim moves to another incarnation only after a not-run proof, and a late copy of it is ignored`() {
        machine.claim(claim("r1"))
        expectThat(machine.complete(1, ClaimOutcome.NotRun)).isTrue()
        expectThat(machine.claim(claim("r1", incarnation = "a2"))).isEqualTo(ClaimResult.Granted(3))
        expectThat(machine.complete(1, ClaimOutcome.NotRun)).isFalse()
        expectThat(machine.claim(claim("r2"))).isA<ClaimResult.InProgress>().get { grant }.isEqualTo(3)
    }

    @Test
    fun `an unknown outcome stays unknown until the response arrives`() {
        machine.claim(claim("r1"))
        expectThat(machine.complete(1, ClaimOutcome.Unknown)).isTrue()
        expectThat(machine.complete(1, ClaimOutcome.Unknown)).isTrue()
        expectThat(machine.complete(1, ClaimOutcome.NotRun)).isFalse()
        expectThat(machine.claim(claim("r2"))).isEqualTo(unknown)
        expectThat(machine.complete(1, ClaimOutcome.Responded(response("saved")))).isTrue()
        expectThat(machine.claim(claim("r2"))).isEqualTo(ClaimResult.Responded(response("saved")))
    }

    @Test
    fun `a completion without a claim is not recorded`() {
        expectThat(machine.complete(1, ClaimOutcome.Responded(response("saved")))).isFalse()
        expectThat(machine.state.claims).isEqualTo(ClaimTable())
    }

    @Test
    fun `a key can be used again when its retention has passed, and not before`() {
        machine.claim(claim("r1", retentionMs = HOUR_MS))
        expectThat(machine.claim(claim("r2", atMs = HOUR_MS - 1))).isEqualTo(held)
        expectThat(machine.claim(claim("r2", atMs = HOUR_MS, digest = "d2"))).isEqualTo(ClaimResult.Granted(3))
        expectThat(machine.complete(1, ClaimOutcome.NotRun)).isFalse()
        expectThat(machine.state.claims.records).hasSize(1)
    }

    @Test
    fun `expiring removes only records whose retention has passed`() {
        machine.claim(claim("r1", key = claimKey.copy(key = "short"), retentionMs = HOUR_MS))
        machine.claim(claim("r2", key = claimKey.copy(key = "long"), retentionMs = 2 * HOUR_MS))
        machine.claim(claim("r3", key = claimKey.copy(key = "longest"), retentionMs = Long.MAX_VALUE))
        expectThat(machine.apply(ExpireClaims(HOUR_MS - 1))).isEqualTo(ClaimsExpired(0))
        expectThat(machine.apply(ExpireClaims(HOUR_MS + 60_000))).isEqualTo(ClaimsExpired(1))
        machine.restart()
        expectThat(machine.apply(ExpireClaims(2 * HOUR_MS + 60_000))).isEqualTo(ClaimsExpired(1))
        expectThat(machine.state.claims.records.keys.map { it.key }).isEqualTo(listOf("longest"))
    }

    @Test
    fun `for a body over 64 KiB only status, length and digest are stored`() {
        val limit = "x".repeat(MAX_STORED_BODY_BYTES)
        expectThat(response(limit).body?.size()).isEqualTo(MAX_STORED_BODY_BYTES)
        machine.claim(claim("r1"))
        val oversized = StoredResponse(200, "", response(limit).body?.concat(response("y").body), 65_537)
        machine.complete(1, ClaimOutcome.Responded(oversized))
        val result = machine.claim(claim("r2"))
        expectThat(result).isA<ClaimResult.Responded>().get { response }.and {
            get { body }.isNull()
            get { bodyBytes }.isEqualTo(65_537)
            get { bodyDigest.size() }.isEqualTo(32)
        }
    }
}
