/*
 * Log output of all programs: plain text lines for people, or one JSON object per line for log collectors.
 */
package org.bramleyspur.core.telemetry

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.util.logging.LogManager

/** Configures logging to standard error in [format], at [level] and above. */
fun configureLogging(format: LogFormat, level: String) {
    // gRPC logs through java.util.logging, whose console output has a different format.
    LogManager.getLogManager().reset()
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.target = "System.err"
    appender.encoder = encoder(context, format)
    appender.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(level, Level.INFO)
    root.addAppender(appender)
    // gRPC and Netty log each refused connection; the code that uses these libraries reports relevant failures itself.
    context.getLogger("io.grpc").level = Level.ERROR
    context.getLogger("io.netty").level = Level.ERROR
}

private fun encoder(context: LoggerContext, format: LogFormat): Encoder<ILoggingEvent> = when (format) {
    LogFormat.JSON ->
        JsonEncoder().apply {
            this.context = context
            start()
        }

    LogFormat.PLAIN ->
        PatternLayoutEncoder().apply {
            this.context = context
            pattern = "%d{ISO8601} %-5level %logger{0} %msg%replace( %kvp){'^ \$', ''}%n%ex"
            start()
        }
}
