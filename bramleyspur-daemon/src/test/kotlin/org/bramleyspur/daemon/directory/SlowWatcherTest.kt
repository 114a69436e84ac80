package org.bramleyspur.daemon.directory

import com.google.protobuf.ByteString
import io.grpc.stub.ServerCallStreamObserver
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.control.state.StoredDocument
import org.bramleyspur.core.backend.BackendDirectory
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a slow or frozen entry for which a control instance holds the documents of many changes in memory. */
class SlowWatcherTest {
    /** @property received versions that the entry receives when versions 1 to 5 are committed */
    private class Case(val name: String, val readyAfter: Int, val received: List<Long>)

    private val cases = listOf(
        Case("ready at once", readyAfter = 0, listOf(1, 2, 3, 4, 5)),
        Case("ready after three changes", readyAfter = 3, listOf(3, 4, 5)),
        Case("ready after all changes", readyAfter = 5, listOf(5)),
        Case("never ready", readyAfter = Int.MAX_VALUE, emptyList()),
    )

    @TestFactory
    fun `a watcher that takes nothing gets only the newest document`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var document = StoredDocument(0, ByteString.EMPTY)
            val timers = ManualTimers()
            val server = DirectoryServer(
                timers,
                DirectorySource({
                    BackendDirectory()
                }, { emptyList() }, { document }, { Evacuations() }, { true }, { emptyList() }),
            ) {}
            server.start()
            val events = FakeStream()
            val requests = server.watch(events)
            requests.onNext(DirectoryRequest.newBuilder().setEntry(true).build())
            if (case.readyAfter == 0) events.becomeReady()
            for (version in 1..5) {
                document = StoredDocument(version.toLong(), ByteString.copyFrom(ByteArray(DOCUMENT_BYTES)))
                server.onDocument()
                timers.fire()
                if (case.readyAfter == version) events.becomeReady()
            }
            expectThat(events.versions.toList()).isEqualTo(case.received)
        }
    }

    private class ManualTimers : TimerService {
        private val actions = ArrayList<() -> Unit>()

        override fun nowMs() = 0L

        override fun after(delayMs: Long, action: () -> Unit) = TimerHandle { }

        override fun every(periodMs: Long, action: () -> Unit): TimerHandle {
            actions += action
            return TimerHandle { }
        }

        /** Runs all periodic actions once. */
        fun fire() = actions.forEach { it() }
    }

    private class FakeStream : ServerCallStreamObserver<DirectoryEvent>() {
        private var ready = false
        private var readyHandler: Runnable? = null
        val versions = ArrayList<Long>()

        fun becomeReady() {
            ready = true
            readyHandler?.run()
        }

        override fun onNext(event: DirectoryEvent) {
            if (event.hasDocument()) versions += event.document.version
        }

        override fun isReady() = ready

        override fun setOnReadyHandler(handler: Runnable) {
            readyHandler = handler
        }

        override fun onError(cause: Throwable) = Unit

        override fun onCompleted() = Unit

        override fun isCancelled() = false

        override fun setOnCancelHandler(handler: Runnable) = Unit

        override fun setCompression(compression: String) = Unit

        override fun disableAutoInboundFlowControl() = Unit

        override fun request(count: Int) = Unit

        override fun setMessageCompression(enable: Boolean) = Unit
    }

    private companion object {
        const val DOCUMENT_BYTES = 1_000
    }
}
