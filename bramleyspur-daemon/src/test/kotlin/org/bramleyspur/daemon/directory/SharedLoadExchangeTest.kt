package org.bramleyspur.daemon.directory

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import io.netty.channel.nio.NioEventLoopGroup
import org.bramleyspur.control.evacuation.Evacuations
import org.bramleyspur.core.telemetry.DecisionLog
import org.bramleyspur.core.time.TimerHandle
import org.bramleyspur.core.time.TimerService
import org.bramleyspur.protocol.DirectoryEvent
import org.bramleyspur.protocol.DirectoryRequest
import org.bramleyspur.traffic.load.ServerLoad
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Guards against work that is told by an instance that does not lead, to control, or to the entry that reported it. */
class SharedLoadExchangeTest {
    private val group = NioEventLoopGroup(1)
    private val timers = ManualTimers()
    private var leads = true
    private val work = ServerLoad(2, 1_000, 3_000)

    @AfterEach
    fun close() {
        group.shutdownGracefully().sync()
    }

    private fun control(sharedLoad: Boolean) = ControlDirectory(
        "c1",
        "10.0.0.1:1",
        emptyList(),
        group,
        timers,
        DecisionLog(PrintStream(ByteArrayOutputStream()), { 0L }),
        ControlDirectoryContext({ null }, { Evacuations() }, { leads }, { emptyList() }, {}, {}, sharedLoad),
    ).also { it.start() }

    private fun StreamObserver<DirectoryRequest>.report(instance: String, vararg work: Pair<String, ServerLoad>) =
        onNext(
            DirectoryRequest.newBuilder().setInstance(instance).setEntry(instance.startsWith("n"))
                .addAllWork(mapOf(*work).toMessages()).build(),
        )

    /** Work that the watchers n1, n2 and c2 are told; they report at first, and after two seconds. */
    private fun told(sharedLoad: Boolean): List<Map<String, ServerLoad>> {
        val control = control(sharedLoad)
        val streams = List(3) { FakeStream() }
        val requests = streams.map { control.watch(it) }
        listOf("n1", "n2", "c2").zip(requests) { instance, stream -> stream.report(instance) }
        timers.now = 2_000
        requests[0].report("n1", "e1" to work, "e2" to work)
        requests[1].report("n2", "e1" to work)
        requests[2].report("c2")
        timers.fire()
        return streams.map { it.last.workList.toLoads() }
    }

    private class Case(val name: String, val leads: Boolean, val shared: Boolean, val told: List<Set<String>>)

    private val cases = listOf(
        Case("the leader", leads = true, shared = true, listOf(setOf("e1"), setOf("e1", "e2"), emptySet())),
        Case("a follower", leads = false, shared = true, listOf(emptySet(), emptySet(), emptySet())),
        Case("without the setting", leads = true, shared = false, listOf(emptySet(), emptySet(), emptySet())),
    )

    @TestFactory
    fun `who is told what`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            leads = case.leads
            timers.reset()
            val told = told(case.shared)
            expectThat(told.map { it.keys }).isEqualTo(case.told)
            told.flatMap { it.values }.forEach { expectThat(it).isEqualTo(work) }
        }
    }

    /** Guards against more bytes than a node may exchange with control: 13 KB/s. */
    @Test
    fun `work at 40 engines is small`() {
        val loads = (0 until 40).associate { "i-7f3a91%02x".format(it) to ServerLoad(30, 40_000, 60_000) }
        val bytes = DirectoryEvent.newBuilder().addAllWork(loads.toMessages()).build().serializedSize
        val perSecond = bytes * (REPORTS_PER_S + EVENTS_PER_S)
        println("work at 40 engines: $bytes bytes, at most $perSecond bytes a second for an entry")
        expectThat(perSecond).isLessThan(13_000.0)
    }

    private class ManualTimers : TimerService {
        private val actions = ArrayList<() -> Unit>()
        var now = 0L

        fun reset() {
            actions.clear()
            now = 0
        }

        override fun nowMs() = now

        override fun after(delayMs: Long, action: () -> Unit) = TimerHandle { }

        override fun every(periodMs: Long, action: () -> Unit): TimerHandle {
            actions += action
            return TimerHandle { }
        }

        /** Runs all periodic actions once. */
        fun fire() = actions.forEach { it() }
    }

    private class FakeStream : ServerCallStreamObserver<DirectoryEvent>() {
        var last: DirectoryEvent = DirectoryEvent.getDefaultInstance()

        override fun onNext(event: DirectoryEvent) {
            last = event
        }

        override fun isReady() = true

        override fun setOnReadyHandler(handler: Runnable) = Unit

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
        const val REPORTS_PER_S = 4.0
        const val EVENTS_PER_S = 3.34
    }
}
