/*
 * Control members as real processes on loopback: started, killed, stopped and continued by process id.
 */
package org.bramleyspur.testbed.control

import org.bramleyspur.core.settings.Address
import java.io.File
import java.util.concurrent.TimeUnit

/** Offset of the platform addresses from the listen addresses. */
private const val PLATFORM_OFFSET = 50
private const val EXIT_SECONDS = 20L

/** A process that this program started, with its log. */
internal class Program(private val command: List<String>, val log: File) {
    private var process: Process? = null

    /** Starts the process; the log is appended to. */
    fun start() {
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    /** Ends the process with SIGKILL. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends [name], such as STOP or CONT. */
    fun signal(name: String) {
        val pid = checkNotNull(process) { "the process was not started" }.pid()
        check(ProcessBuilder("kill", "-$name", "$pid").start().waitFor() == 0) { "kill -$name $pid failed" }
    }

    /** Runs to the end and fails with the log when the exit code is not 0. */
    fun runToEnd() {
        start()
        check(process?.waitFor() == 0) { "$command failed: ${log.readText()}" }
    }
}

/** One control member of the cluster. */
internal class ClusterMember(val name: String, val address: Address, val dataDir: File, val program: Program)

/**
 * Three control members.
 *
 * @property work folder of data folders and logs
 * @property base port of the first member; the members use [base] and the following ports
 */
internal class ControlCluster(
    private val root: File,
    val work: File,
    private val base: Int,
    private val snapshotEntries: Long,
) : AutoCloseable {
    /** The members c1, c2 and c3. */
    val members: List<ClusterMember> = (0 until MEMBERS).map { member(it) }

    private val others = mutableListOf<Program>()

    /** Addresses of the members. */
    val addresses: List<Address> get() = members.map { it.address }

    /** Makes the data folders and starts the members. */
    fun start() {
        val voters = members.joinToString(",") { "${it.name}=${it.address}" }
        members.forEach {
            val arguments = listOf("initialize", "--data-dir", it.dataDir.path, "--member", it.name, "--voters", voters)
            Program(daemon(arguments), File(work, "initialize-${it.name}.log")).runToEnd()
        }
        members.forEach { it.program.start() }
    }

    /** Starts an entry whose callers' port is [base] + [offset]. */
    fun startEntry(name: String, offset: Int) {
        val arguments = listOf(
            "entry", "--instance", name, "--caller-listen", "127.0.0.1:${base + offset}",
            "--platform-listen", "127.0.0.1:${base + offset + PLATFORM_OFFSET}", "--data-centre", "dc1",
            "--control", addresses.joinToString(","),
        )
        others += Program(daemon(arguments), File(work, "$name.log")).also { it.start() }
    }

    /** Returns the member that listens at [address]. */
    fun at(address: Address): ClusterMember = members.first { it.address == address }

    override fun close() {
        members.forEach { it.program.kill() }
        others.forEach { it.kill() }
    }

    private fun member(position: Int): ClusterMember {
        val name = "c${position + 1}"
        val address = Address("127.0.0.1", base + position)
        val folder = File(work, name)
        val arguments = listOf(
            "control", "--instance", name, "--listen", "$address",
            "--platform-listen", "127.0.0.1:${base + position + PLATFORM_OFFSET}", "--data-centre", "dc1",
            "--data-dir", folder.path, "--snapshot-entries", "$snapshotEntries",
        )
        return ClusterMember(name, address, folder, Program(daemon(arguments), File(work, "$name.log")))
    }

    private fun daemon(arguments: List<String>) = listOf(File(root, "bin/bramleyspurd").path) + arguments

    private companion object {
        const val MEMBERS = 3
    }
}
