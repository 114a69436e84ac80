/*
 * Benchmark of recovery and commits on the disk of the temporary directory. It is not part of the test run, since it
 * takes long and its results depend on the machine. To run it:
 *
 *     mvn -B -ntp -pl bramleyspur-log -am test -Dtest=LogMeasurement -Dsurefire.failIfNoSpecifiedTests=false
 */
package org.bramleyspur.log

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import org.bramleyspur.log.consensus.Entry
import org.bramleyspur.log.consensus.EntryKind
import org.bramleyspur.log.consensus.HardState
import org.bramleyspur.log.consensus.Persist
import org.bramleyspur.log.storage.DiskFileSystem
import org.bramleyspur.log.storage.FirstStart
import org.bramleyspur.log.storage.LogStorage
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val PAYLOAD_BYTES = 256
private const val COMMITS = 20_000

class LogMeasurement {
    private val storageThreads = List(3) { Executors.newSingleThreadExecutor() }
    private val controlThreads = List(3) { Executors.newSingleThreadScheduledExecutor() }

    private fun open(directory: Path, id: Int, members: Int): LogStorage {
        val voters = (0 until members).associate { "m$it" to "h$it:1" }
        return LogStorage.open(DiskFileSystem(directory.resolve("m$id")), FirstStart.Bootstrap("m$id", voters))
            .getOrElse { error(it.message) }
    }

    private fun start(id: Int, storage: LogStorage, logs: Array<ReplicatedLog?>, onReady: () -> Unit) {
        val threads = LogThreads(controlThreads[id], storageThreads[id]) { it.printStackTrace() }
        val options = LogOptions("h$id:1") { error(it.message) }
        controlThreads[id].execute {
            logs[id] = ReplicatedLog(
                storage,
                options,
                threads,
                { address, message ->
                    val to = address.substring(1, 2).toInt()
                    controlThreads[to].execute { logs[to]?.receive(message) }
                },
                StateMachine({ _, _, _ -> }, { ByteArray(0) }, { }),
                LeadershipListener(ready = { onReady() }),
                Random(id).asJavaRandom(),
            )
        }
    }

    private fun stop(logs: Array<ReplicatedLog?>) {
        logs.forEachIndexed { i, log -> log?.let { controlThreads[i].submit { it.close() }.get() } }
        (controlThreads + storageThreads).forEach { it.shutdown() }
    }

    @ParameterizedTest
    @ValueSource(ints = [1_000, 100_000])
    fun recovery(count: Int, @TempDir directory: Path) {
        open(directory, 0, members = 1).use { storage ->
            storage.persist(listOf(Persist(0, HardState(1, "m0"))))
            (1L..count).chunked(100).forEach { indexes ->
                val entries = indexes.map { Entry(it, 1, EntryKind.COMMAND, ByteArray(PAYLOAD_BYTES)) }
                storage.persist(listOf(Persist(0, entries = entries)))
            }
        }
        val startNs = System.nanoTime()
        val storage = open(directory, 0, members = 1)
        val openedNs = System.nanoTime()
        val ready = CountDownLatch(1)
        val logs = arrayOfNulls<ReplicatedLog>(3)
        start(0, storage, logs) { ready.countDown() }
        ready.await(30, TimeUnit.SECONDS)
        val readyNs = System.nanoTime()
        println(
            "MEASURED recovery of $count entries of $PAYLOAD_BYTES bytes: directory read in " +
                "${(openedNs - startNs) / 1_000_000} ms, leading and all applied after " +
                "${(readyNs - startNs) / 1_000_000} ms (with the election timeout of 500 to 1000 ms)",
        )
        stop(logs)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 16, 256])
    fun commits(outstanding: Int, @TempDir directory: Path) {
        val ready = CountDownLatch(1)
        var leader = 0
        val logs = arrayOfNulls<ReplicatedLog>(3)
        val storages = List(3) { open(directory, it, members = 3) }
        storages.forEachIndexed { i, storage ->
            start(i, storage, logs) {
                leader = i
                ready.countDown()
            }
        }
        ready.await(30, TimeUnit.SECONDS)
        val total = if (outstanding == 1) COMMITS / 20 else COMMITS
        val latenciesNs = LongArray(total)
        val done = CountDownLatch(total)
        var next = 0
        fun proposeNext() {
            if (next == total) return
            val number = next++
            val startNs = System.nanoTime()
            logs[leader]!!.propose(ByteArray(PAYLOAD_BYTES)) { result ->
                result.onFailure { System.err.println("commit failed: ${it.message}") }
                latenciesNs[number] = System.nanoTime() - startNs
                done.countDown()
                proposeNext()
            }
        }
        val startNs = System.nanoTime()
        controlThreads[leader].execute { repeat(outstanding) { proposeNext() } }
        check(done.await(120, TimeUnit.SECONDS)) { "$total commits did not finish within 120 s" }
        val seconds = (System.nanoTime() - startNs) / 1e9
        latenciesNs.sort()
        val millis = listOf(0.5, 0.95, 0.99).map { "%.2f".format(latenciesNs[((total - 1) * it).toInt()] / 1e6) }
        println(
            "MEASURED $total commits of $PAYLOAD_BYTES bytes on 3 members, $outstanding outstanding: " +
                "%.0f commits/s, latency p50 %s ms, p95 %s ms, p99 %s ms".format(
                    total / seconds,
                    millis[0],
                    millis[1],
                    millis[2],
                ),
        )
        stop(logs)
    }
}
