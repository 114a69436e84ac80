package org.bramleyspur.daemon.forward

import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.traffic.quarantine.EngineLife
import org.bramleyspur.traffic.quarantine.PartObservation
import org.bramleyspur.traffic.quarantine.PartQuarantine
import org.bramleyspur.traffic.quarantine.PartVerdict

/**
 * Keeps requests with prompt parts that crash engines away from the engines. Confined to the traffic thread.
 *
 * @property delayFactor random factor of this process on the time between two tests of a part, from 1 to 2
 * @property publish sends observations of this entry to the control instances, which pass them to the other entries
 */
internal class PromptPartGuard(
    private val timers: TimerService,
    private val log: DecisionLog,
    private val delayFactor: Double,
    private val publish: (List<PartObservation>) -> Unit,
) {
    private var quarantine = PartQuarantine()

    /** All observations that another process needs to know the same suspect parts. */
    fun observations(): List<PartObservation> = quarantine.observations()

    /** Whether a request with the shared parts [parts] may be sent; records that a test was let through. */
    fun admit(parts: List<String>): PartVerdict {
        if (parts.isEmpty()) return PartVerdict.Allowed
        val verdict = quarantine.verdict(parts, timers.nowMs(), delayFactor)
        if (verdict is PartVerdict.Test) {
            quarantine = quarantine.withTest(verdict.part, timers.nowMs())
            log.write("prompt-part-test", "part" to verdict.part)
        }
        return verdict
    }

    /** Whether a request that has been sent to an engine may be sent to another one. */
    fun allowsRetry(parts: List<String>): Boolean = quarantine.allowsRetry(parts)

    /** Records that [engine] ended its connection while it was to begin the response to a request with [parts]. */
    fun onEngineEnded(parts: List<String>, engine: EngineLife) =
        observe(parts.map { PartObservation.EngineEnded(it, engine) })

    /** Records that an engine went on after the beginning of its response to a request with [parts]. */
    fun onSurvived(parts: List<String>) =
        observe(parts.filter { it in quarantine.suspects }.map { PartObservation.Survived(it) })

    private fun observe(observations: List<PartObservation>) {
        val changes = observations.filter { apply(it) }
        if (changes.isNotEmpty()) publish(changes)
    }

    /** Takes over what another process observed. */
    fun receive(observations: List<PartObservation>) = observations.forEach { apply(it) }

    /** Records the observation; returns whether it changed what is known. */
    private fun apply(observation: PartObservation): Boolean {
        val before = quarantine
        quarantine = before.with(observation, timers.nowMs())
        if (quarantine === before) return false
        when (observation) {
            is PartObservation.EngineEnded -> log.write(
                "prompt-part-suspect",
                "part" to observation.part,
                "engine" to observation.engine.id,
                "engines" to quarantine.suspects[observation.part]?.engines?.size,
            )
            is PartObservation.Survived -> log.write("prompt-part-cleared", "part" to observation.part)
        }
        return true
    }

    /** Forgets parts that have not been suspected for a long time. */
    fun expire() {
        quarantine = quarantine.expire(timers.nowMs())
    }
}
