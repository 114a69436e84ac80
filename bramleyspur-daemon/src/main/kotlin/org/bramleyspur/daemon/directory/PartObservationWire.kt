package org.bramleyspur.daemon.directory

import org.bramleyspur.protocol.PromptPartReport
import org.bramleyspur.traffic.quarantine.EngineLife
import org.bramleyspur.traffic.quarantine.PartObservation

internal fun PartObservation.toMessage(): PromptPartReport {
    val message = PromptPartReport.newBuilder().setPart(part)
    if (this is PartObservation.EngineEnded) message.setEngine(engine.id).setEngineStartedAtMs(engine.startedAtMs)
    return message.build()
}

internal fun PromptPartReport.toModel(): PartObservation = if (engine.isEmpty()) {
    PartObservation.Survived(part)
} else {
    PartObservation.EngineEnded(part, EngineLife(engine, engineStartedAtMs))
}
