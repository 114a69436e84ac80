package org.bramleyspur.daemon.controlplane

import com.github.michaelbull.result.Err
import com.google.protobuf.ByteString
import org.bramleyspur.core.document.Document
import org.bramleyspur.core.document.DocumentError
import org.bramleyspur.core.settings.Address
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.daemon.freePort
import org.bramleyspur.daemon.member.ControlNode
import org.bramleyspur.daemon.orders.EngineDialect
import org.bramleyspur.daemon.process.AgentlessControlProcess
import org.bramleyspur.daemon.process.AgentlessControlSettings
import org.bramleyspur.daemon.process.ControlDialect
import org.bramleyspur.daemon.process.MAX_MESSAGE_BYTES
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.io.OutputStream
import java.io.PrintStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path

/**
 * Guards against a document that the interface takes and the control log does not, so that it is neither accepted nor
 * refused for good.
 */
class DocumentSizeTest {
    @TempDir
    lateinit var directory: Path

    private val cases = listOf(
        "small" to 1_000,
        "a mebibyte" to 1024 * 1024,
        "above a mebibyte" to 1_100_000,
        "the largest" to Document.MAX_BYTES,
        "above the largest" to Document.MAX_BYTES + 1,
    )

    @TestFactory
    fun `a document is accepted and read back, or refused for good`() = cases.mapIndexed { i, (name, bytes) ->
        DynamicTest.dynamicTest(name) {
            ControlInstance(directory.resolve("$i")).use { instance ->
                val accepted = bytes <= Document.MAX_BYTES
                expectThat(instance.awaitFinalStatus(bytes)).isEqualTo(if (accepted) 200 else 413)
                if (accepted) expectThat(instance.readBytes()).isEqualTo(bytes)
            }
        }
    }

    @Test
    fun `the limits on the way of a document follow from each other`() {
        expectThat(ControlNode.SETTINGS.maxEntryBytes).isGreaterThan(Document.MAX_BYTES)
        expectThat(ControlNode.SETTINGS.maxAppendBytes).isLessThan(MAX_MESSAGE_BYTES)
        expectThat(ControlNode.SETTINGS.maxEntryBytes.toLong()).isLessThan(ControlNode.SETTINGS.maxLogBytes)
    }

    private class ControlInstance(data: Path) : AutoCloseable {
        private val listenPort = freePort()
        private val controlPort = listenPort + 1
        private val http = HttpClient.newHttpClient()
        private val uri = URI("http://127.0.0.1:$controlPort/")
        private val process = AgentlessControlProcess(
            AgentlessControlSettings(
                "control",
                Address("127.0.0.1", listenPort),
                Address("127.0.0.1", controlPort),
                null,
                data.toString(),
                listOf("127.0.0.1:$listenPort"),
                bootstrap = true,
                toleratedFailures = 0,
            ),
            ControlDialect(
                { method, _, body ->
                    when (method) {
                        "PUT" -> ControlPlaneCall.Replace(1, ByteString.copyFrom(body))
                        else -> ControlPlaneCall.Read
                    }
                },
                { Err(DocumentError("not decoded in this test")) },
                EngineDialect({ error("no engine gets an order") }, "/state") { Err("no engine is asked") },
            ),
            DecisionLog(PrintStream(OutputStream.nullOutputStream()), System::currentTimeMillis),
        ).also { it.start() }

        /** Sends a document until the status is not that of a failure that may pass. */
        fun awaitFinalStatus(bytes: Int): Int {
            val endNs = System.nanoTime() + LIMIT_NS
            while (true) {
                val request = HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofByteArray(ByteArray(bytes)))
                val status = http.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode()
                if (status != UNAVAILABLE || System.nanoTime() > endNs) return status
                Thread.sleep(RETRY_MS)
            }
        }

        fun readBytes(): Int =
            http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray()).body().size

        override fun close() = process.close()
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val RETRY_MS = 100L
        const val LIMIT_NS = 10_000_000_000L
    }
}
