package org.bramleyspur.traffic.admission

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.bramleyspur.core.model.RequestId
import kotlin.random.Random

/** Guards against attempts that are lost, begun twice, begun after a refusal or deadline, and against lost slots. */
class AdmissionSequenceTest {
    @Property(seed = "4715", tries = 3_000)
    fun everyAttemptBeginsOrIsRefused(@ForAll seed: Long) {
        val random = Random(seed)
        val simulation = Simulation(random, slots = 1 + random.nextInt(4))
        repeat(200) { simulation.step() }
        simulation.finish()
    }

    private class Simulation(private val random: Random, private val slots: Int) {
        private val queue = AdmissionQueue(slots, initialServiceMs = 50)
        private val offers = mutableMapOf<AttemptKey, AttemptOffer>()
        private val begun = mutableSetOf<AttemptKey>()
        private val refused = mutableSetOf<AttemptKey>()
        private val running = mutableSetOf<AttemptKey>()
        private var nowMs = 0L

        fun step() {
            nowMs += random.nextInt(40)
            val key = offers.keys.randomOrNull(random)
            when (random.nextInt(10)) {
                0, 1, 2, 3 -> offer()
                4, 5, 6 -> running.randomOrNull(random)?.let { end(it) }
                7 -> key?.let { apply(queue.cancel(it, nowMs)) }
                8 -> key?.let { lookUp(it) }
                else -> apply(queue.tick(nowMs))
            }
        }

        fun finish() {
            repeat(slots + 200) { running.firstOrNull()?.let { end(it) } }
            check(queue.isIdle()) { "the queue still has queued or running attempts" }
            check(begun + refused == offers.keys) { "neither begun nor refused: ${offers.keys - begun - refused}" }
        }

        private fun offer() {
            val key = AttemptKey(RequestId("r${offers.size}"), 1)
            val account = "account-${random.nextInt(3)}"
            val deadlineMs = nowMs + random.nextInt(1, 500)
            val offer = AttemptOffer(key, account, 1 + random.nextInt(3), random.nextInt(3), 300, deadlineMs)
            offers[key] = offer
            apply(queue.offer(offer, nowMs))
        }

        private fun lookUp(key: AttemptKey) {
            val result = queue.lookup(key, cancel = random.nextBoolean(), nowMs)
            check((result.state == LookupState.NOT_BEGUN) == (key !in begun)) { "lookup of $key: ${result.state}" }
            apply(result.effects)
        }

        private fun end(key: AttemptKey) {
            running -= key
            apply(queue.ended(key, nowMs))
        }

        private fun apply(effects: List<AdmissionEffect>) = effects.forEach { effect ->
            when (effect) {
                is AdmissionEffect.Begin -> {
                    check(begun.add(effect.key) && effect.key !in refused) {
                        "begun twice or after refusal: ${effect.key}"
                    }
                    check(offers.getValue(effect.key).deadlineMs > nowMs) { "begun after the deadline: ${effect.key}" }
                    running += effect.key
                    check(running.size <= slots) { "${running.size} runs in $slots slots" }
                }

                is AdmissionEffect.Refuse -> check(refused.add(effect.key) && effect.key !in begun)
                is AdmissionEffect.CancelRun -> check(effect.key in running)
            }
        }
    }
}
