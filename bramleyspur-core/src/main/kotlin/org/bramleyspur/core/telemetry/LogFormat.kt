package org.bramleyspur.core.telemetry

/** Format of the log output. */
enum class LogFormat {
    PLAIN,
    JSON,
}
