/*
 * Control members as real processes on loopback. Signals are sent to process ids only.
 */
package org.bramleyspur.testbed.control

import org.bramleyspur.core.settings.Address
import java.io.File
import java.util.concurrent.TimeUnit

/** Distance between a platform port and the corresponding listen port. */
private const val PLATFORM_PORT_OFFSET = 50
private const val EXIT_TIMEOUT_SECONDS = 20L

/** A process started by this program; its output is appended to [log]. */
internal class ClusterProcess(private val command: List<String>, val log: File) {
    private var process: Process? = null

    fun start() {
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    /** Ends the process with SIGKILL. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends the signal [name], such as STOP or CONT. */
    fun signal(name: String) {
        val pid = checkNotNull(process) { "the process was not started" }.pid()
        check(ProcessBuilder("kill", "-$name", "$pid").start().waitFor() == 0) { "kill -$name $pid failed" }
    }

    /** Runs the process to its end; fails with its log if the exit code is not 0. */
    fun runToEnd() {
        start()
        check(process?.waitFor() == 0) { "$command failed: ${log.readText()}" }
    }
}

/** One control member of the cluster. */
internal class ClusterMember(val name: String, val address: Address, val dataDir: File, val process: ClusterProcess)

/**
 * A cluster of three control members, and entries that use it.
 *
 * @property workDir directory of data directories and logs
 * @property basePort port of the first member; the members use [basePort] and the following ports
 */
internal class ControlCluster(
    private val root: File,
    val workDir: File,
    private val basePort: Int,
    private val snapshotEntries: Long,
) : AutoCloseable {
    /** The members c1, c2 and c3. */
    val members: List<ClusterMember> = (0 until MEMBERS).map { member(it) }

    private val entries = mutableListOf<ClusterProcess>()

    val addresses: List<Address> get() = members.map { it.address }

    /** Initializes the data directories and starts the members. */
    fun start() {
        val voters = members.joinToString(",") { "${it.name}=${it.address}" }
        members.forEach {
            val arguments = listOf("initialize", "--data-dir", it.dataDir.path, "--member", it.name, "--voters", voters)
            ClusterProcess(daemon(arguments), File(workDir, "initialize-${it.name}.log")).runToEnd()
        }
        members.forEach { it.process.start() }
    }

    /** Starts an entry that accepts callers on port [basePort] + [portOffset]. */
    fun startEntry(name: String, portOffset: Int) {
        val arguments = listOf(
            "entry", "--instance", name, "--caller-listen", "127.0.0.1:${basePort + portOffset}",
            "--platform-listen", "127.0.0.1:${basePort + portOffset + PLATFORM_PORT_OFFSET}", "--data-centre", "dc1",
            "--control", addresses.joinToString(","),
        )
        entries += ClusterProcess(daemon(arguments), File(workDir, "$name.log")).also { it.start() }
    }

    /** Returns the member that listens at [address]. */
    fun memberAt(address: Address): ClusterMember = members.first { it.address == address }

    override fun close() {
        members.forEach { it.process.kill() }
        entries.forEach { it.kill() }
    }

    private fun member(index: Int): ClusterMember {
        val name = "c${index + 1}"
        val address = Address("127.0.0.1", basePort + index)
        val dataDir = File(workDir, name)
        val arguments = listOf(
            "control", "--instance", name, "--listen", "$address",
            "--platform-listen", "127.0.0.1:${basePort + index + PLATFORM_PORT_OFFSET}", "--data-centre", "dc1",
            "--data-dir", dataDir.path, "--snapshot-entries", "$snapshotEntries",
        )
        return ClusterMember(name, address, dataDir, ClusterProcess(daemon(arguments), File(workDir, "$name.log")))
    }

    private fun daemon(arguments: List<String>) = listOf(File(root, "bin/bramleyspurd").path) + arguments

    private companion object {
        const val MEMBERS = 3
    }
}
