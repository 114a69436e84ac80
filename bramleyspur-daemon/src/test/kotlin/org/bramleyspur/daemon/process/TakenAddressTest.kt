package org.bramleyspur.daemon.process

import org.bramleyspur.daemon.freePort
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Guards against a process that cannot listen on an address, prints a stack trace and stays without serving. */
class TakenAddressTest {
    @TempDir
    lateinit var directory: Path

    private val common = listOf("--instance", "n", "--data-centre", "dc")
    private val control = listOf("--control", "127.0.0.1:1")

    @TestFactory
    fun `a process whose address is taken ends with a line that names it`() = listOf(
        "control" to "listen",
        "entry" to "caller-listen",
        "entry" to "platform-listen",
        "agent" to "listen",
    ).map { (role, listener) ->
        DynamicTest.dynamicTest("$role $listener") {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
                val process = start(role, arguments(role), listener, taken.localPort)
                try {
                    expectThat(process.waitFor(END_LIMIT_S, TimeUnit.SECONDS)).isEqualTo(true)
                    expectThat(process.exitValue()).isEqualTo(1)
                    val output = Files.readString(directory.resolve("output"))
                    expectThat(output).contains("127.0.0.1:${taken.localPort}").contains("choose another")
                    expectThat("\tat " in output).isEqualTo(false)
                } finally {
                    process.destroyForcibly().waitFor()
                }
            }
        }
    }

    private fun arguments(role: String): List<String> = when (role) {
        "control" -> listOf("--data-dir", dataDirectory())
        "entry" -> control + listOf("--caller-listen", free())
        else -> control + listOf(
            "--backend",
            "127.0.0.1:1",
            "--backend-kind",
            "plain",
            "--service",
            "s",
            "--lock-port",
            "${freePort()}",
        )
    } + if (role == "entry") emptyList() else listOf("--listen", free())

    /** A member of a new log. */
    private fun dataDirectory(): String = directory.resolve("data").toString().also {
        val arguments = listOf("--data-dir", it, "--member", "m", "--voters", "m=127.0.0.1:1")
        expectThat(run("initialize", arguments).waitFor()).isEqualTo(0)
    }

    private fun start(role: String, arguments: List<String>, listener: String, takenPort: Int): Process {
        val all = common + arguments + listOf("--platform-listen", free())
        val flag = all.indexOf("--$listener")
        return run(role, all.toMutableList().also { it[flag + 1] = "127.0.0.1:$takenPort" })
    }

    private fun run(role: String, arguments: List<String>): Process {
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val main = "org.bramleyspur.daemon.process.MainKt"
        return ProcessBuilder(listOf(java, "-Xmx96m", "-cp", classPath, main, role) + arguments)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("output").toFile())
            .start()
    }

    private fun free() = "127.0.0.1:${freePort()}"

    private companion object {
        const val END_LIMIT_S = 30L
    }
}
