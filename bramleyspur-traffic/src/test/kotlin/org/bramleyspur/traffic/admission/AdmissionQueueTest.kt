package org.bramleyspur.traffic.admission

import org.bramleyspur.core.model.RequestId
import org.bramleyspur.traffic.admission.AdmissionEffect.Begin
import org.bramleyspur.traffic.admission.AdmissionEffect.CancelRun
import org.bramleyspur.traffic.admission.AdmissionEffect.Refuse
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class AdmissionQueueTest {
    private val queue = AdmissionQueue(slots = 1, initialServiceMs = 80)

    private fun key(name: String) = AttemptKey(RequestId(name), 1)

    private fun offer(
        name: String,
        account: String = "a",
        priority: Int = 0,
        cost: Long = 1,
        deadlineMs: Long = 10_000,
    ) = AttemptOffer(key(name), account, 1, priority, patienceMs = 350, deadlineMs, cost, idempotent = false)

    private fun offerAll(vararg offers: AttemptOffer) = offers.flatMap { queue.offer(it, nowMs = 0) }

    private fun beginOrder(count: Int): List<String> {
        val order = mutableListOf("first")
        repeat(count) {
            queue.ended(key(order.last()), nowMs = 100).filterIsInstance<Begin>().forEach {
                order +=
                    it.key.request.value
            }
        }
        return order.drop(1)
    }

    /** Guards against a backlog of one account delaying another account. */
    @Test
    fun `serves a small account between the requests of a large one`() {
        offerAll(offer("first"), offer("a1"), offer("a2"), offer("b1", account = "b"))
        expectThat(beginOrder(3)).containsExactly("b1", "a1", "a2")
    }

    /** Guards against a cost that is not charged to its account. */
    @Test
    fun `charges an account by cost`() {
        offerAll(offer("first", account = "z"), offer("a1", cost = 5), offer("b1", account = "b"), offer("b2", "b"))
        queue.offer(offer("a2"), 0)
        expectThat(beginOrder(4)).containsExactly("a1", "b1", "b2", "a2")
    }

    /** Guards against starvation by a steady load of higher priority. */
    @Test
    fun `orders an account by priority with a bounded advance`() {
        offerAll(offer("first"), offer("low"))
        queue.offer(offer("high", priority = 1), 10)
        queue.offer(offer("later", priority = 9), 101)
        expectThat(beginOrder(3)).containsExactly("high", "low", "later")
    }

    /** Guards against requests that are queued for longer than their account accepts. */
    @Test
    fun `refuses at once when the predicted wait exceeds the patience`() {
        offerAll(offer("first"), offer("1"), offer("2"), offer("3"), offer("4"))
        val refused = queue.offer(offer("5"), 0).single() as Refuse
        expectThat(refused.reason).isEqualTo(RefusalReason.QUEUE_FULL)
        expectThat(refused.retryAfterMs).isGreaterThan(0)
    }

    /** Guards against a run whose caller no longer waits for the response. */
    @Test
    fun `refuses an expired attempt before it begins`() {
        offerAll(offer("first"), offer("late", deadlineMs = 50))
        expectThat(queue.ended(key("first"), 60)).containsExactly(Refuse(key("late"), RefusalReason.EXPIRED, 0))
        expectThat(queue.offer(offer("past", deadlineMs = 60), 60)).containsExactly(
            Refuse(key("past"), RefusalReason.EXPIRED, 0),
        )
    }

    /** Guards against a run that nobody can cancel any more because its start arrives after its cancel. */
    @Test
    fun `refuses a start after its cancel until the deadline`() {
        expectThat(queue.cancel(key("x"), 0)).isEmpty()
        queue.tick(5_000)
        expectThat(queue.offer(offer("x"), 5_000)).containsExactly(Refuse(key("x"), RefusalReason.CANCELLED, 0))
        expectThat(queue.lookup(key("y"), cancel = true, 0).state).isEqualTo(LookupState.NOT_BEGUN)
        expectThat(queue.offer(offer("y"), 1)).containsExactly(Refuse(key("y"), RefusalReason.CANCELLED, 0))
    }

    /** Guards against a second run of an attempt, even hours after the first one. */
    @Test
    fun `refuses a duplicate of a waiting, running and ended attempt`() {
        offerAll(offer("first"), offer("waiting"))
        listOf("first", "waiting").forEach {
            expectThat(queue.offer(offer(it), 0)).containsExactly(Refuse(key(it), RefusalReason.DUPLICATE, 0))
        }
        queue.ended(key("first"), 100)
        queue.tick(100)
        queue.tick(20 * 3_600_000L)
        expectThat(queue.lookup(key("first"), cancel = true, 20 * 3_600_000L).state).isEqualTo(LookupState.ENDED)
    }

    /** Guards against slots and queue places held for callers that have disconnected. */
    @Test
    fun `frees the place of a caller that disconnects`() {
        offerAll(offer("first"), offer("1"), offer("2"))
        expectThat(queue.cancel(key("1"), 0)).containsExactly(Refuse(key("1"), RefusalReason.CANCELLED, 0))
        expectThat(queue.offer(offer("3"), 0)).isEmpty()
        expectThat(queue.cancel(key("first"), 0)).containsExactly(CancelRun(key("first")))
        expectThat(queue.ended(key("first"), 1)).containsExactly(Begin(key("2")))
    }

    /** Guards against new work on a leaving backend server, and against any work on an incomplete replica. */
    @Test
    fun `refuses new work while leaving or not serving`() {
        offerAll(offer("first"), offer("waiting"))
        queue.drain(0)
        expectThat(queue.offer(offer("new"), 1)).containsExactly(Refuse(key("new"), RefusalReason.LEAVING, 100))
        expectThat(queue.tick(2_001)).containsExactly(Refuse(key("waiting"), RefusalReason.LEAVING, 100))
        queue.endDrain()
        offerAll(offer("next"))
        expectThat(queue.setServing(false, 2)).containsExactly(Refuse(key("next"), RefusalReason.NOT_SERVING, 100))
        expectThat(queue.lookup(key("first"), cancel = true, 3).state).isEqualTo(LookupState.RUNNING)
    }

    /** Guards against a slot that stays taken when the backend server rejects an attempt. */
    @Test
    fun `frees the slot of an attempt that the backend server rejected`() {
        offerAll(offer("first"), offer("next"))
        expectThat(queue.rejectedByBackend(key("first"), RefusalReason.NOT_SERVING, 1))
            .containsExactly(Refuse(key("first"), RefusalReason.NOT_SERVING, 100), Begin(key("next")))
        expectThat(queue.lookup(key("first"), cancel = false, 2).state).isEqualTo(LookupState.NOT_BEGUN)
    }
}
