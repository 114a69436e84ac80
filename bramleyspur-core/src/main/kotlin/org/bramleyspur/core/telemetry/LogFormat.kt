package org.bramleyspur.core.telemetry

/** Form of a log line. */
enum class LogFormat {
    PLAIN,
    JSON,
}
