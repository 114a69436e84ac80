package org.bramleyspur.control.state

import org.bramleyspur.core.model.Revision
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsKey
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith

/** Guards against operators' commands that are applied partially, twice, or to an outdated revision. */
class SubmissionTest {
    @ParameterizedTest
    @MethodSource("refused")
    fun `an invalid command is refused with the remedy and changes nothing`(case: Pair<String, String>) {
        val machine = Machine.ready()
        val before = machine.state.configuration
        val result = machine.submit("create account extra key sha256 '${key('b')}'; ${case.first}")
        expectThat(result) {
            get { accepted }.isFalse()
            get { message }.contains(case.second)
            get { revision }.isEqualTo(before.revision)
        }
        expectThat(machine.state.configuration).isEqualTo(before)
    }

    @ParameterizedTest
    @MethodSource("accepted")
    fun `a valid command takes effect as the revision of its log index`(statements: String) {
        val machine = Machine.ready()
        expectThat(machine.submit(statements)) {
            get { message }.isEqualTo("accepted as revision 2")
            get { revision }.isEqualTo(Revision(2))
        }
        expectThat(machine.state.configuration.revision).isEqualTo(Revision(2))
    }

    @Test
    fun `of two commands with the same expected revision one is accepted and the other gets the current revision`() {
        val machine = Machine.ready()
        expectThat(machine.submit("drain instance i1", expected = 1).accepted).isTrue()
        expectThat(machine.submit("drain instance i2", expected = 1)) {
            get { accepted }.isFalse()
            get { revision }.isEqualTo(Revision(2))
            get { message }.startsWith("the configuration is at revision 2, not 1")
        }
    }

    @Test
    fun `evacuations are changed by statements as by calls, and kept in snapshots`() {
        val machine = Machine.ready()
        val revision = machine.accepted("evacuate data centre dc1; evacuate data centre dc2").revision
        machine.accepted("return data centre dc2")
        machine.restart()
        val evacuations = machine.state.evacuations
        expectThat(evacuations.byDataCentre.mapValues { it.value.revision }).isEqualTo(mapOf("dc1" to revision.value))
        expectThat(machine.submit("evacuate data centre dc1").accepted).isFalse()
        expectThat(machine.submit("return data centre dc2").accepted).isFalse()
        machine.apply(EvacuateDataCentre("dc1", evacuated = true, submittedAtMs = 0))
        expectThat(machine.state.evacuations).isEqualTo(evacuations)
        val progress = evacuations.progress(mapOf("e1" to revision.value, "e2" to 0L, "e3" to revision.value + 5))
        expectThat(progress.map { it.confirmedBy to it.missing }).isEqualTo(listOf(2 to listOf("e2")))
        machine.apply(EvacuateDataCentre("dc1", evacuated = false, submittedAtMs = 0))
        expectThat(machine.state.evacuations.byDataCentre.keys).hasSize(0)
    }

    @Test
    fun `a resend gets the first result, also a refusal that would now be accepted`() {
        val machine = Machine.ready()
        val first = machine.submit("return instance i1", id = "x")
        machine.accepted("drain instance i1")
        machine.restart()
        expectThat(machine.submit("return instance i1", id = "x")).isEqualTo(first.copy(repeated = true))
        expectThat(machine.state.configuration.drainedInstances).hasSize(1)
    }

    @Test
    fun `a command id that was used for another command is refused and keeps its first result`() {
        val machine = Machine.ready()
        val first = machine.submit("drain instance i1", id = "x")
        expectThat(machine.submit("drain instance i2", id = "x")) {
            get { accepted }.isFalse()
            get { message }.contains("was used for another command")
        }
        expectThat(machine.submit("drain instance i1", id = "x")).isEqualTo(first.copy(repeated = true))
    }

    @Test
    fun `an invalid command id is refused and not recorded`() {
        val machine = Machine.ready()
        expectThat(listOf("", " ", "x".repeat(129)).map { machine.submit("drain instance i1", id = it).accepted })
            .isEqualTo(listOf(false, false, false))
        expectThat(machine.state.commands).hasSize(1)
    }

    @Test
    fun `results are dropped only when they are older than a day and there are more than 10000`() {
        val machine = Machine()
        repeat(MIN_RETAINED_COMMANDS + 2) { machine.submit("", id = "c$it") }
        expectThat(machine.state.commands).hasSize(MIN_RETAINED_COMMANDS + 2)
        machine.submit("", id = "later", atMs = MIN_COMMAND_RETENTION_MS - 1)
        expectThat(machine.state.commands).hasSize(MIN_RETAINED_COMMANDS + 3)
        machine.submit("", id = "last", atMs = MIN_COMMAND_RETENTION_MS)
        expectThat(machine.state.commands).hasSize(MIN_RETAINED_COMMANDS).containsKey("c4")
        expectThat(machine.state.commands.containsKey("c3")).isFalse()
    }

    @Test
    fun `a roll-out is finished, rolled back and rolled back again`() {
        val machine = Machine.ready()
        fun versions() = machine.state.configuration.services.getValue("recipes").let { it.version to it.nextVersion }
        machine.accepted("roll out recipes to v2")
        expectThat(versions()).isEqualTo("v1" to "v2")
        machine.accepted("roll back recipes")
        expectThat(versions()).isEqualTo("v1" to null)
        machine.accepted("roll out recipes to v2")
        expectThat(machine.apply(FinishRollOut("recipes", "v3"))).isEqualTo(RollOutFinished(false, Revision(4)))
        expectThat(machine.apply(FinishRollOut("recipes", "v2"))).isEqualTo(RollOutFinished(true, Revision(6)))
        expectThat(versions()).isEqualTo("v2" to null)
        machine.restart()
        machine.accepted("roll back recipes")
        expectThat(versions()).isEqualTo("v2" to "v1")
        machine.apply(FinishRollOut("recipes", "v1"))
        expectThat(versions()).isEqualTo("v1" to null)
    }

    @Test
    fun `messages truncated within a character are the same after a snapshot`() {
        val machine = Machine()
        machine.submit("😀")
        machine.submit("crate " + "x".repeat(39) + "𝒳")
        machine.submit("drop service '" + "😀".repeat(200) + "'")
        val before = machine.state
        machine.restart()
        expectThat(machine.state).isEqualTo(before)
    }

    private companion object {
        const val PLAIN_HINT = "has no model, version, adapters, instances or replicas"

        @JvmStatic
        fun refused() = references() + values() + operations()

        fun references() = listOf(
            "admit control c4 at '127.0.0.1:1'" to "changes the control members; send it alone",
            "remove control c1" to "changes the control members; send it alone",
            "create account kitchen key sha256 '${key('c')}'" to "the account kitchen exists",
            "create service book plain" to "the service book exists",
            "create service new plain accounts nobody" to "names the account nobody, which does not exist",
            "alter service book accounts kitchen, nobody" to "names the account nobody",
            "drop account kitchen" to "names the account kitchen, which does not exist",
            "drop account nobody" to "statement 2: the account nobody does not exist",
            "alter account nobody weight 2" to "the account nobody does not exist",
            "alter service none1 timeout 1 s" to "the service none1 does not exist",
            "drop service none1" to "the service none1 does not exist",
            "create account twin key sha256 '${key('A')}'" to "the accounts kitchen and twin have the same key",
        )

        fun values() = listOf(
            "create account new" to "needs key sha256",
            "create account new key sha256 'abc'" to "64 hexadecimal digits",
            "create account 'new name' key sha256 '${key('c')}'" to "may hold only letters",
            "create account '' key sha256 '${key('c')}'" to "the name of the account is empty",
            "alter account kitchen weight 0" to "must be at least 1",
            "alter account kitchen patience 30 d" to "must be at most",
            "create service new" to "needs a model, or plain",
            "create service new model m" to "needs a version",
            "create service new model m version v instances 0" to "must be from 1 to",
            "create service new model m version v replicas dc1 100000" to "must be at most 1000",
            "create service new model m version v adapters a, a" to "names an adapter twice",
            "create service new model m version v adapters ''" to "the name of the adapter is empty",
            "create service new plain model m" to PLAIN_HINT,
            "alter service book replicas dc1 1" to PLAIN_HINT,
            "create service v1 plain" to "is a path of the entry",
            "create service 'a/b' plain" to "is part of a path",
            "create service '${"x".repeat(129)}' plain" to "longer than 128",
            "alter service book timeout 0 s" to "must be from 1 to",
            "alter service book retention 1 s" to "must not be shorter than its timeout",
            "alter service book retention 366 d" to "at most 365 d",
            "alter service recipes model other" to "the model of a service cannot be altered",
            "alter service recipes version v2" to "use roll out",
            "drain instance ''" to "the name of the instance is empty",
        )

        fun operations() = listOf(
            "show services" to "send it as a query",
            "drian instance i1" to "line 1, column ",
            "return instance i1" to "is not drained",
            "drain instance i1; drain instance i1" to "statement 3: the instance i1 is already drained",
            "roll out none1 to v2" to "does not exist",
            "roll out recipes to v1" to "already serves version v1",
            "roll out recipes to v2; roll out recipes to v2" to "already in progress",
            "roll out recipes to v2; roll out recipes to v1" to "use roll back recipes",
            "roll out recipes to ''" to "the name of the version is empty",
            "roll out book to v2" to "is plain and has no version",
            "roll back recipes" to "has no earlier version",
            "roll back none1" to "does not exist",
        )

        @JvmStatic
        fun accepted() = listOf(
            "create service new plain accounts other; create account other key sha256 '${key('B')}'",
            "drop account kitchen; alter service recipes accounts none; alter service book accounts none",
            "drop service book; create service book model m version v",
            "drain instance i1; return instance i1",
            "roll out recipes to v2; roll out recipes to v3",
            "alter account kitchen limit none weight 3 priority 4 patience 1 s",
            "drop service recipes; drop service book; drop account kitchen",
        )
    }
}
