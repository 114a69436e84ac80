package org.bramleyspur.testbed

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

/** Guards against a stand-in that cannot listen on an address, prints a stack trace and stays without serving. */
class TakenAddressTest {
    @TempDir
    lateinit var directory: Path

    @TestFactory
    fun `a stand-in whose address is taken ends with a line that names it`() = listOf(
        Triple("engine.EngineMainKt", "--address", ""),
        Triple("plain.PlainMainKt", "--address", ""),
        Triple("otlp.OtlpMainKt", "--address", ""),
        Triple("relay.RelayMainKt", "--link", "a="),
    ).map { (main, flag, prefix) ->
        DynamicTest.dynamicTest(main) {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
                val address = "127.0.0.1:${taken.localPort}"
                val process = start(main, flag, prefix + address + if (prefix.isEmpty()) "" else "=127.0.0.1:1")
                try {
                    expectThat(process.waitFor(END_LIMIT_S, TimeUnit.SECONDS)).isEqualTo(true)
                    expectThat(process.exitValue()).isEqualTo(1)
                    val output = Files.readString(directory.resolve("output"))
                    expectThat(output).contains(address).contains("choose another")
                    expectThat("\tat " in output).isEqualTo(false)
                } finally {
                    process.destroyForcibly().waitFor()
                }
            }
        }
    }

    private fun start(main: String, flag: String, value: String): Process {
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        return ProcessBuilder(java, "-Xmx96m", "-cp", classPath, "org.bramleyspur.testbed.$main", flag, value)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("output").toFile())
            .start()
    }

    private companion object {
        const val END_LIMIT_S = 30L
    }
}
