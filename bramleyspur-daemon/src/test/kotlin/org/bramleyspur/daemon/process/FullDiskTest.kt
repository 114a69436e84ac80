package org.bramleyspur.daemon.process

import com.github.michaelbull.result.Err
import com.google.protobuf.ByteString
import org.bramleyspur.core.document.DocumentError
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.daemon.FillableDisk
import org.bramleyspur.daemon.controlplane.ControlPlaneCall
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.orders.EngineDialect
import org.bramleyspur.log.storage.DiskFileSystem
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Guards against changes that are refused or stay unanswered for good after the disks of all control instances were
 * full in turn, and against an instance that is no longer asked for votes after that.
 */
class FullDiskTest {
    @TempDir
    lateinit var directory: Path

    /**
     * @property instances number of control instances; the first three begin as voters
     * @property target the instance whose disk fills next
     */
    private class Case(
        val name: String,
        val instances: Int = 3,
        val fullMs: Long = 3_000,
        val gapMs: Long = 0,
        val target: (Instances, Int) -> Int,
    )

    private val cases = listOf(
        Case("one after another", gapMs = 1_000) { _, turn -> turn % 3 },
        Case("each while it leads") { instances, turn -> instances.leader() ?: (turn % 3) },
        Case("each while it follows") { instances, turn ->
            (0..2).map { (turn + it) % 3 }.first { it != instances.leader() }
        },
        Case("with a fourth instance that takes the place of a full one", instances = 4) { _, turn -> turn % 4 },
    )

    @TestFactory
    fun `changes are accepted and every instance answers after the disks were full in turn`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            Instances(Files.createDirectories(directory.resolve("${cases.indexOf(case)}")), case.instances).use {
                it.await("an accepted change", START_LIMIT_MS) { it.replace() }
                it.await("every instance knows the leader", START_LIMIT_MS) { it.allKnowLeader() }
                var failures = 0
                repeat(case.instances) { turn ->
                    val target = case.target(it, turn)
                    it.fill(target, case.fullMs)
                    failures += it.takeFailures(target)
                    Thread.sleep(case.gapMs)
                }
                check(failures >= case.instances - 1) { "only $failures disks were noticed to be full" }
                val acceptedMs = it.await("an accepted change", ACCEPT_LIMIT_MS) { it.replace() }
                expectThat(acceptedMs).isLessThan(ACCEPT_LIMIT_MS)
                it.await("every instance knows the leader", REJOIN_LIMIT_MS) { it.allKnowLeader() }
                expectThat(it.refusals()).isEqualTo(0)
            }
        }
    }

    private class Instances(directory: Path, count: Int) : AutoCloseable {
        private val hosts = List(count) { "127.0.0.${it + 1}" }
        private val listenPort = freePort()
        private val controlPort = listenPort + 1
        private val disks = hosts.map { FillableDisk() }
        private val seeds = hosts.take(3).map { "$it:$listenPort" }
        private val output = ByteArrayOutputStream()
        private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build()
        private var version = 0L
        private val statuses = ConcurrentHashMap<Int, Int>()
        private val processes = hosts.mapIndexed { i, host ->
            val path = Files.createDirectories(directory.resolve("$i"))
            AgentlessControlProcess(
                AgentlessControlSettings(
                    "control-$i",
                    Address(host, listenPort),
                    Address(host, controlPort),
                    null,
                    path.toString(),
                    seeds,
                    bootstrap = i < 3,
                    toleratedFailures = 1,
                ),
                ControlDialect(
                    { method, path, body ->
                        when (method) {
                            "PUT" -> ControlPlaneCall.Replace(path.drop(1).toLong(), ByteString.copyFrom(body))
                            else -> ControlPlaneCall.Read
                        }
                    },
                    { Err(DocumentError("not decoded in this test")) },
                    EngineDialect({ error("no engine gets an order") }, "/state") { Err("no engine is asked") },
                ),
                DecisionLog(PrintStream(output), System::currentTimeMillis),
                { disks[i].also { disk -> disk.open(DiskFileSystem(it)) } },
            ).also { it.start() }
        }

        private fun call(
            instance: Int,
            path: String,
            request: HttpRequest.Builder.() -> HttpRequest.Builder,
        ): HttpResponse<String>? {
            val uri = URI("http://${hosts[instance]}:$controlPort/$path")
            val builder = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).request()
            return runCatching { http.send(builder.build(), HttpResponse.BodyHandlers.ofString()) }.getOrNull()
                .also { response -> response?.let { statuses.merge(it.statusCode(), 1, Int::plus) } }
        }

        /** The instance that serves reads, or null. */
        fun leader(): Int? = hosts.indices.firstOrNull { i -> call(i, "") { GET() }?.statusCode() == 200 }

        /** Whether every instance serves a read or names the leader. */
        fun allKnowLeader() = hosts.indices.all { i -> call(i, "") { GET() }?.statusCode() in setOf(200, 307) }

        /** Sends a new document to each instance in turn until one accepts it. */
        fun replace(): Boolean {
            version++
            return hosts.indices.any { i ->
                val body = HttpRequest.BodyPublishers.ofString("version $version")
                call(i, "$version") { PUT(body) }?.statusCode() == 200
            }
        }

        /** Number of responses that promise that a change will never be in force, though it is valid. */
        fun refusals(): Int = statuses.filterKeys { it in 400..499 }.values.sum()

        /** Fills the disk of [target] for [forMs] while changes are made. */
        fun fill(target: Int, forMs: Long) {
            disks[target].full = true
            val endNs = System.nanoTime() + forMs * 1_000_000
            while (System.nanoTime() < endNs) {
                replace()
                Thread.sleep(POLL_MS)
            }
            disks[target].full = false
        }

        fun takeFailures(target: Int): Int = if (disks[target].takeFailures() > 0) 1 else 0

        /** Waits until [condition] holds and returns the time in milliseconds; fails after [limitMs]. */
        fun await(description: String, limitMs: Long, condition: () -> Boolean): Long {
            val begin = System.nanoTime()
            while (!condition()) {
                val elapsedMs = (System.nanoTime() - begin) / 1_000_000
                check(elapsedMs < limitMs) {
                    val events = output.toString().lines().filter { "log-" in it || "lead" in it || "admission" in it }
                    "not reached within $limitMs ms: $description; statuses $statuses;\n" +
                        events.takeLast(LOG_LINES).joinToString("\n")
                }
                Thread.sleep(POLL_MS)
            }
            return (System.nanoTime() - begin) / 1_000_000
        }

        override fun close() = processes.forEach { it.close() }
    }

    private companion object {
        const val START_LIMIT_MS = 20_000L
        const val ACCEPT_LIMIT_MS = 4_000L

        /** An instance without a vote asks for admission and catches up within this time. */
        const val REJOIN_LIMIT_MS = 10_000L
        const val POLL_MS = 50L
        const val LOG_LINES = 40
    }
}
