package org.bramleyspur.daemon.process

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bramleyspur.daemon.http.ListenException
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}
private const val EXIT_START_FAILED = 1

/**
 * Runs [start]. A failure is logged and ends the process: its event loops run already, and would keep it alive without
 * serving.
 */
@Suppress("TooGenericExceptionCaught") // Any failure to start must end the process with its message.
fun <T> startOrExit(start: () -> T): T = try {
    start()
} catch (e: ListenException) {
    logger.error { "cannot start: ${e.message}" }
    exitProcess(EXIT_START_FAILED)
} catch (e: BackendLockedException) {
    logger.error { "cannot start: ${e.message}" }
    exitProcess(EXIT_START_FAILED)
} catch (e: Exception) {
    logger.error(e) { "cannot start: ${e.message}" }
    exitProcess(EXIT_START_FAILED)
}
