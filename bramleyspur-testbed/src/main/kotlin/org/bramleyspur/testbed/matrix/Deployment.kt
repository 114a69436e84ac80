/*
 * A deployment on loopback as real processes: three control members, two entries, four engines in two fabric domains,
 * two plain backend servers of one service, one agent for each backend server, and a relay on the links to the control
 * members and the backend servers.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleyspur.core.json.parseBounded
import org.bramleyspur.testbed.http.testbedJson
import org.bramleyspur.testbed.relay.LinkSettings
import org.bramleyspur.testbed.relay.RelayServer
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.security.MessageDigest
import java.util.HexFormat
import java.util.Random

internal const val ENGINES = 4
internal const val BACKENDS = 6
internal const val ENTRIES = 2
internal const val CONTROL_MEMBERS = 3
internal const val MODEL = "sausage-7b"
internal const val API_KEY = "matrix-key"

/** Key of an account with a limit of concurrent requests far above its use. */
internal const val LIMITED_KEY = "matrix-limited-key"

/** Ports of the deployment, as offsets from [base]. All members of a kind are numbered from 1. */
internal class Ports(private val base: Int) {
    fun control(n: Int) = base + n
    fun controlPlatform(n: Int) = base + 10 + n
    fun backend(n: Int) = base + 20 + n
    fun agent(n: Int) = base + 30 + n
    fun agentPlatform(n: Int) = base + 40 + n
    fun caller(n: Int) = base + 50 + n
    fun entryPlatform(n: Int) = base + 60 + n
    fun controlLink(n: Int) = base + 70 + n
    fun backendLink(n: Int) = base + 80 + n
    fun lock(n: Int) = base + 90 + n
    val relayAdmin = base + 99

    companion object {
        private const val LOWEST_BASE = 18_000
        private const val PORTS_PER_DEPLOYMENT = 100
        private const val BASE_COUNT = 120

        /** Returns a range below the ephemeral ports in which all ports are free. */
        fun free(random: Random): Ports =
            generateSequence { LOWEST_BASE + PORTS_PER_DEPLOYMENT * random.nextInt(BASE_COUNT) }
                .first { base -> (base until base + PORTS_PER_DEPLOYMENT).all(::isFree) }
                .let(::Ports)

        private fun isFree(port: Int): Boolean =
            runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess
    }
}

/** Starts and stops the processes; [root] is the directory of the launchers, [workDir] that of logs and data. */
internal class Deployment(private val root: File, val workDir: File, val ports: Ports, seed: Long) : AutoCloseable {
    private val relay = RelayServer(address(ports.relayAdmin), links(), seed)
    private val voters = (1..CONTROL_MEMBERS).joinToString(",") { "c$it=${hostPort(ports.controlLink(it))}" }
    private val controlAddresses = (1..CONTROL_MEMBERS).joinToString(",") { hostPort(ports.controlLink(it)) }

    val control = (1..CONTROL_MEMBERS).map { controlMember(it) }
    val backends = (1..BACKENDS).map { backend(it) }
    val agents = (1..BACKENDS).map { agent(it) }
    val entries = (1..ENTRIES).map { entry(it) }
    private val processes = control + backends + agents + entries

    /** Starts all processes and declares the services. */
    fun start() {
        for (n in 1..CONTROL_MEMBERS) initialize(n)
        processes.forEach { it.start() }
        waitFor("a control leader", START_TIMEOUT_SECONDS) { leader() != null }
        val statementsFile = File(workDir, "services.txt")
        statementsFile.writeText(
            """
            create account kitchen key sha256 '${digest(API_KEY)}' limit none patience 2 s;
            create account limited key sha256 '${digest(LIMITED_KEY)}' limit 100 patience 2 s;
            create service recipes model '$MODEL' version 'v1' instances 2 replicas dc1 2
              accounts 'kitchen', 'limited';
            create service book plain accounts 'kitchen' non idempotent retention 1 h;
            """.trimIndent(),
        )
        checkNotNull(operator("--file", statementsFile.path)) { "the services could not be declared" }
    }

    /** Returns the number of the control leader, or null if there is none. */
    fun leader(): Int? {
        val output = operator("--output", "json", "--timeout-ms", "4000", "show control") ?: return null
        val rows = testbedJson.parseBounded(output).jsonObject["rows"]?.jsonArray.orEmpty()
        val leader = rows.map { it.jsonObject }.firstOrNull { it.cell("role") == "leader" } ?: return null
        return leader.cell("member").removePrefix("c").toIntOrNull()
    }

    /** Restarts ended processes, resumes frozen ones and restores all links. */
    fun repair() {
        processes.forEach { it.resume() }
        sendLinkCommand("*", """{"command":"restore"}""")
        processes.filter { !it.alive }.forEach { it.start() }
    }

    /** Whether all agents and entries are ready and all backend servers respond. */
    fun isReady(): Boolean =
        (1..BACKENDS).all { Http.get("http://${hostPort(ports.backend(it))}/admin/runs") != null } &&
            (1..BACKENDS).all { Http.get("http://${hostPort(ports.agentPlatform(it))}/readyz") != null } &&
            (1..ENTRIES).all { Http.get("http://${hostPort(ports.entryPlatform(it))}/readyz") != null }

    /** Sends [command] for the link [name] to the relay. */
    fun sendLinkCommand(name: String, command: String) {
        val response = Http.post("http://${hostPort(ports.relayAdmin)}/links/$name", command)
        check(response != null) { "the relay did not accept $command for link $name" }
    }

    override fun close() {
        processes.forEach { it.resume() }
        processes.forEach { it.stop() }
        val deadline = System.nanoTime() + STOP_TIMEOUT_NANOS
        while (processes.any { it.alive } && System.nanoTime() < deadline) Thread.sleep(POLL_INTERVAL_MS)
        processes.filter { it.alive }.forEach { it.kill() }
        relay.close()
    }

    private fun digest(key: String) =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

    private fun JsonObject.cell(name: String) = this[name]?.jsonPrimitive?.content.orEmpty()

    private fun initialize(n: Int) {
        val dataDir = File(workDir, "c$n").path
        val command = listOf(launcher("bramleyspurd"), "initialize", "--data-dir", dataDir, "--member", "c$n")
        val process = ManagedProcess("initialize-$n", command + listOf("--voters", voters), log("initialize-$n"))
        process.start()
        check(process.exitCode(START_TIMEOUT_SECONDS) == 0) {
            "control member c$n was not initialized; see ${workDir.path}"
        }
    }

    private fun operator(vararg arguments: String): String? {
        val command = listOf(launcher("bramleyspur"), "--control", controlAddresses) + arguments
        val process = ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log("operator"))).start()
        val output = process.inputStream.reader().readText()
        return output.takeIf { process.waitFor() == 0 }
    }

    private fun controlMember(n: Int) = daemon(
        "control-$n",
        "control",
        "c$n",
        ports.controlPlatform(n),
        listOf(
            "--listen",
            hostPort(ports.control(n)),
            "--data-dir",
            File(workDir, "c$n").path,
        ),
    )

    private fun entry(n: Int) = daemon(
        "entry-$n",
        "entry",
        "e$n",
        ports.entryPlatform(n),
        listOf(
            "--caller-listen",
            hostPort(ports.caller(n)),
            "--control",
            controlAddresses,
        ),
    )

    private fun agent(n: Int): ManagedProcess {
        val kind =
            if (n <= ENGINES) {
                listOf("engine", "--fabric-domain", "f${(n + 1) / 2}", "--accelerators", "4")
            } else {
                listOf("plain", "--service", "book")
            }
        val settings = listOf("--listen", hostPort(ports.agent(n)), "--control", controlAddresses) +
            listOf(
                "--backend",
                hostPort(ports.backendLink(n)),
                "--lock-port",
                ports.lock(n).toString(),
                "--backend-kind",
            )
        return daemon("agent-$n", "agent", "i$n", ports.agentPlatform(n), settings + kind)
    }

    private fun daemon(name: String, role: String, instance: String, platformPort: Int, extraArguments: List<String>) =
        ManagedProcess(
            name,
            listOf(
                launcher("bramleyspurd"),
                role,
                "--instance",
                instance,
                "--data-centre",
                "dc1",
                "--grace-ms",
                "500",
            ) +
                listOf("--platform-listen", hostPort(platformPort)) + extraArguments,
            log(name),
        )

    private fun backend(n: Int): ManagedProcess {
        val kind =
            if (n <=
                ENGINES
            ) {
                listOf("engine", "--slots", "24", "--decode-ms", "15", "--load-ms", "300")
            } else {
                listOf("plain")
            }
        val command = listOf(launcher("bramleyspur-standin")) + kind + listOf("--address", hostPort(ports.backend(n)))
        return ManagedProcess("backend-$n", command, log("backend-$n"))
    }

    private fun links(): List<LinkSettings> =
        (1..CONTROL_MEMBERS).map { LinkSettings("c$it", address(ports.controlLink(it)), address(ports.control(it))) } +
            (1..BACKENDS).map { LinkSettings("b$it", address(ports.backendLink(it)), address(ports.backend(it))) }

    private fun launcher(program: String) = File(root, "bin/$program").path

    private fun log(name: String) = File(workDir, "$name.log")

    private fun hostPort(port: Int) = "127.0.0.1:$port"

    private fun address(port: Int) = InetSocketAddress("127.0.0.1", port)

    private companion object {
        const val START_TIMEOUT_SECONDS = 30L
        const val STOP_TIMEOUT_NANOS = 15_000_000_000L
    }
}

internal const val POLL_INTERVAL_MS = 50L

/** Polls [condition] for up to [seconds]; fails with an error that names [description] when the time has passed. */
internal fun waitFor(description: String, seconds: Long, condition: () -> Boolean) {
    val deadline = System.nanoTime() + seconds * NANOS_PER_SECOND
    while (!condition()) {
        check(System.nanoTime() < deadline) { "no $description within $seconds s" }
        Thread.sleep(POLL_INTERVAL_MS)
    }
}

internal const val NANOS_PER_SECOND = 1_000_000_000L
