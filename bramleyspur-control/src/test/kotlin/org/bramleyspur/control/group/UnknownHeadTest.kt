package org.bramleyspur.control.group

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.Random

/**
 * Guards against an engine that joins another group while the head of its group serves, because control does not know
 * the head any more.
 */
class UnknownHeadTest {
    /** [strike] happens to a serving head every one to three seconds. */
    private class Case(val name: String, val strike: EngineSimulation.(SimulatedEngine, Random) -> Unit)

    private val cases = listOf(
        Case("another backend server announces its address") { head, random ->
            takeAddress(head, 500L + random.nextInt(8_000))
        },
        Case("another backend server announces its address while a member is cut from control") { head, random ->
            engine(head.members[random.nextInt(head.members.size)]).controlCutOffUntilMs = nowMs + 6_000
            takeAddress(head, 500L + random.nextInt(8_000))
        },
        Case("another backend server announces a member's address") { head, random ->
            takeAddress(engine(head.members[1 + random.nextInt(head.members.size - 1)]), 500L + random.nextInt(8_000))
        },
        Case("the directory drops its entry") { head, _ -> dropEntry(head) },
        Case("the directory drops its entry while it is cut from control") { head, random ->
            head.controlCutOffUntilMs = nowMs + 1_000 + random.nextInt(9_000)
            dropEntry(head)
        },
        Case("another backend server answers its orders") { head, random ->
            misdirectOrders(head, 500L + random.nextInt(8_000))
            // Orders to a head are rare unless its group is taken apart.
            engine(head.members.last()).restart(nowMs)
        },
        Case("it restarts under its id") { head, _ -> head.restart(nowMs) },
        Case("leaders begin with an older and partial directory") { _, random ->
            restartControlWithOlderDirectory(missingShare = random.nextDouble() / 2)
        },
        Case("leaders take turns while its address is announced by another") { head, random ->
            takeAddress(head, 500L + random.nextInt(8_000))
            changeLeader()
        },
        Case("the lease lapses while its address is announced by another") { head, random ->
            takeAddress(head, 500L + random.nextInt(8_000))
            lapseLease(50L + random.nextInt(1_000))
        },
    )

    private fun EngineSimulation.engine(id: String) = engines.first { it.id == id }

    private fun EngineSimulation.anyHead(random: Random): SimulatedEngine? =
        servingHeads().let { heads -> if (heads.isEmpty()) null else heads[random.nextInt(heads.size)] }

    // A head that was not in the directory counted as ended, and its members as free.
    @TestFactory
    fun `no member joins another group while a head that control does not know serves`() = cases.flatMap { case ->
        (1L..SEEDS).map { seed ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") {
                val random = Random(seed)
                val simulation = EngineSimulation(Random(seed), ENGINES, faults = true)
                simulation.stageWeights()
                simulation.run(STARTING_MS)
                repeat(STRIKES) {
                    simulation.run(1_000L + random.nextInt(2_000))
                    simulation.anyHead(random)?.let { head -> case.strike(simulation, head, random) }
                }
                expectThat(simulation.violations).isEmpty()
                simulation.faults = false
                simulation.run(SETTLING_MS)
                expectThat(simulation.violations).isEmpty()
                expectThat(simulation.servingHeads().size).isGreaterThanOrEqualTo(MIN_GROUPS)
            }
        }
    }

    private companion object {
        const val ENGINES = 57
        const val SEEDS = 10L
        const val STRIKES = 8
        const val STARTING_MS = 6_000L
        const val SETTLING_MS = 12_000L
        const val MIN_GROUPS = 5
    }
}
