/*
 * One process of the deployment under test. Signals go to its own process id only.
 */
package org.bramleyspur.testbed.matrix

import java.io.File
import java.util.concurrent.TimeUnit

/** A process that is started with [command] and writes its output to [log]; it can be restarted after it has ended. */
internal class ManagedProcess(val name: String, private val command: List<String>, private val log: File) {
    private var process: Process? = null
    private var frozen = false

    /** Whether the process has been started and has not ended. */
    val alive: Boolean get() = process?.isAlive == true

    fun start() {
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start()
        frozen = false
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Freezes the process (SIGSTOP). */
    fun freeze() {
        signal("STOP")
        frozen = true
    }

    /** Resumes the process (SIGCONT) if it is frozen. */
    fun resume() {
        if (frozen) signal("CONT")
        frozen = false
    }

    /** Requests a planned stop (SIGTERM). */
    fun stop() {
        process?.destroy()
    }

    /** Waits up to [seconds] for the process to end and returns its exit code, or null if it is still running. */
    fun exitCode(seconds: Long): Int? {
        val current = checkNotNull(process) { "$name has not been started" }
        return if (current.waitFor(seconds, TimeUnit.SECONDS)) current.exitValue() else null
    }

    private fun signal(signal: String) {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        ProcessBuilder("kill", "-$signal", pid.toString()).inheritIO().start().waitFor()
    }
}
