package org.bramleyspur.log

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bramleyspur.log.consensus.AppendReply
import org.bramleyspur.log.consensus.AppendRequest
import org.bramleyspur.log.consensus.ConsensusSettings
import org.bramleyspur.log.consensus.ConsensusState
import org.bramleyspur.log.consensus.Effect
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.EntryLog
import org.bramleyspur.log.consensus.Envelope
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.LeaderState
import org.bramleyspur.log.consensus.Membership
import org.bramleyspur.log.consensus.Message
import org.bramleyspur.log.consensus.Persisted
import org.bramleyspur.log.consensus.Received
import org.bramleyspur.log.consensus.Send
import org.bramleyspur.log.consensus.Tick
import org.bramleyspur.log.consensus.VoteReply
import org.bramleyspur.log.consensus.VoteRequest
import org.bramleyspur.log.consensus.step
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against unsafe votes, commits and leases, and against wrong replies to append requests. */
class ConsensusRulesTest {
    private class Member(terms: List<Long>, term: Long, votedFor: String? = null) {
        private val voters = persistentMapOf("a" to "a:1", "b" to "b:1", "c" to "c:1")
        private val entries = terms.mapIndexed { i, t -> Entry(i + 1L, t, EntryKind.COMMAND, ByteArray(1)) }
        var state = ConsensusState.recovered(
            "a",
            ConsensusSettings(),
            HardState(term, votedFor),
            EntryLog(0, 0, entries.toPersistentList()),
            null,
            Membership(voters),
            nowMs = 0,
            electionTimeoutMs = 500,
        )

        /** Handles a message, then syncs; returns the messages sent. */
        fun receive(nowMs: Long, from: String, message: Message): List<Message> {
            val received = step(state, Received(nowMs, Envelope(from, "$from:1", "a", message)))
            state = received.state
            return messages(received.effects) + sync(nowMs)
        }

        fun sync(nowMs: Long): List<Message> {
            val synced = step(state, Persisted(nowMs, state.lastSequence))
            state = synced.state
            return messages(synced.effects)
        }

        fun tick(nowMs: Long) {
            state = step(state, Tick(nowMs, electionTimeoutMs = 500)).state
        }

        private fun messages(effects: List<Effect>) = effects.filterIsInstance<Send>().map { it.message }
    }

    @ParameterizedTest
    @CsvSource(
        // now, term, last index, last term, pre-vote, voted for, granted: the member has term 3 and entries of 1, 2, 2
        "600, 4, 3, 2, true, , true",
        "600, 4, 3, 2, false, , true",
        "600, 4, 2, 3, false, , true",
        "600, 4, 2, 2, false, , false",
        "600, 4, 9, 1, false, , false",
        "600, 4, 2, 2, true, , false",
        "600, 3, 3, 2, true, , false",
        "600, 3, 3, 2, false, , true",
        "600, 3, 3, 2, false, b, true",
        "600, 3, 3, 2, false, c, false",
        "600, 2, 3, 2, false, , false",
        "499, 4, 3, 2, true, , false",
    )
    fun `votes only for a candidate with an up-to-date log, and only once in a term`(
        nowMs: Long,
        term: Long,
        lastIndex: Long,
        lastTerm: Long,
        preVote: Boolean,
        votedFor: String?,
        granted: Boolean,
    ) {
        val member = Member(listOf(1, 2, 2), term = 3, votedFor)
        val reply = member.receive(nowMs, "b", VoteRequest(term, lastIndex, lastTerm, preVote)).single() as VoteReply
        expectThat(reply.granted).isEqualTo(granted)
    }

    @Test
    fun `a voter that hears from a leader does not reply to a candidate and keeps its term`() {
        val member = Member(listOf(1), term = 1)
        member.receive(1_000, "b", AppendRequest(1, 1, 1, emptyList(), 0, 1))
        expectThat(member.receive(1_499, "c", VoteRequest(2, 9, 1, preVote = false))).isEmpty()
        expectThat(member.state.term).isEqualTo(1)
    }

    @Test
    fun `a vote is not sent before it is synced`() {
        val member = Member(listOf(1), term = 1)
        val request = Envelope("b", "b:1", "a", VoteRequest(2, 1, 1, preVote = false))
        val received = step(member.state, Received(600, request))
        expectThat(received.effects.filterIsInstance<Send>()).isEmpty()
        expectThat(step(received.state, Persisted(600, received.state.lastSequence)).effects.size).isEqualTo(1)
    }

    private fun leader(terms: List<Long>, term: Long) = Member(terms, term).apply {
        tick(500)
        receive(500, "b", VoteReply(term + 1, granted = true, preVote = true))
        receive(500, "b", VoteReply(term + 1, granted = true, preVote = false))
        check(state.role is LeaderState)
    }

    @Test
    fun `an entry of an earlier term on a majority is committed only with one of the current term`() {
        val leader = leader(listOf(1, 2), term = 3)
        leader.receive(510, "b", AppendReply(4, success = true, matchIndex = 2, round = 1))
        expectThat(leader.state.commitIndex).isEqualTo(0)
        leader.receive(520, "b", AppendReply(4, success = true, matchIndex = 3, round = 1))
        expectThat(leader.state.commitIndex).isEqualTo(3)
    }

    @Test
    fun `a conflicting term is skipped in one round trip`() {
        val follower = Member(listOf(1L) + List(100) { 2L }, term = 3)
        val reply = follower.receive(0, "b", AppendRequest(4, 90, 3, emptyList(), 0, 1)).single()
        expectThat(reply).isEqualTo(AppendReply(4, success = false, matchIndex = 2, round = 1))
    }

    @Test
    fun `a delayed append request does not remove newer entries`() {
        val follower = Member(emptyList(), term = 1)
        val entries = (1L..3L).map { Entry(it, 1, EntryKind.COMMAND, ByteArray(1)) }
        follower.receive(0, "b", AppendRequest(1, 0, 0, entries, 0, 1))
        follower.receive(0, "b", AppendRequest(1, 0, 0, entries.take(1), 0, 1))
        expectThat(follower.state.log.lastIndex).isEqualTo(3)
    }

    @Test
    fun `a leader without a majority keeps its lease for less than the shortest election timeout`() {
        val leader = leader(listOf(1), term = 1)
        leader.receive(510, "b", AppendReply(2, success = true, matchIndex = 2, round = 1))
        expectThat(listOf(994L, 995L).map { leader.state.leaseValid(it) }).isEqualTo(listOf(true, false))
        leader.tick(1_001)
        expectThat(leader.state.role !is LeaderState).isTrue()
        expectThat(leader.state.leader).isNull()
    }
}
