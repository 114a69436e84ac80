package org.bramleyspur.control.state

import org.bramleyspur.language.Query
import org.bramleyspur.language.Show
import org.bramleyspur.language.ShowChange
import org.bramleyspur.language.Subject
import org.bramleyspur.language.Why
import org.bramleyspur.language.toText
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against queries whose results differ from the active configuration. */
class ConfigurationQueryTest {
    private val machine = Machine.ready().apply {
        accepted("roll out recipes to 'v2'; drain instance 'rack 1'; alter service recipes adapters b, a")
    }

    private fun rows(query: Query) = (machine.state.execute(query) as QueryResult.Table).rows

    @Test
    fun `the statements of show configuration recreate the configuration`() {
        val recreated = Machine()
        recreated.accepted(rows(Show(Subject.CONFIGURATION)).joinToString(";") { it.cells.single() })
        val revision = machine.state.configuration.revision
        expectThat(recreated.state.configuration.copy(revision = revision)).isEqualTo(machine.state.configuration)
        expectThat(machine.state.configuration.toStatements().map { it.toText() })
            .isEqualTo(rows(Show(Subject.CONFIGURATION)).map { it.cells.single() })
    }

    @Test
    fun `services, accounts and changes are listed`() {
        expectThat(rows(Show(Subject.SERVICES)).map { it.cells.first() }).isEqualTo(listOf("book", "recipes"))
        expectThat(rows(Show(Subject.SERVICES, "recipes")).single().cells.take(6))
            .isEqualTo(listOf("recipes", "model", "sausage-7b", "v1", "v2", "b, a"))
        expectThat(rows(Show(Subject.ACCOUNTS)).map { it.cells.first() }).isEqualTo(listOf("kitchen"))
        expectThat(rows(Show(Subject.CHANGES)).map { it.cells.first() }).isEqualTo(listOf("2", "1"))
    }

    @Test
    fun `every row has a cell for each column`() {
        listOf(Subject.SERVICES, Subject.ACCOUNTS, Subject.CHANGES, Subject.CONFIGURATION).forEach { subject ->
            val table = machine.state.execute(Show(subject)) as QueryResult.Table
            expectThat(table.rows).all { get { cells.size }.isEqualTo(table.columns.size) }
        }
    }

    @Test
    fun `an unknown service is refused, and queries about runtime state are left to the leader`() {
        expectThat(machine.state.execute(Show(Subject.SERVICES, "gone")))
            .isA<QueryResult.Refused>()
            .get { message }
            .contains("does not exist")
        val runtime =
            listOf(
                Show(Subject.REPLICAS),
                Show(Subject.INSTANCES),
                Show(Subject.CONTROL),
                ShowChange(1),
                Why("recipes"),
            )
        expectThat(runtime.map { machine.state.execute(it) }).all { isEqualTo(QueryResult.NotInState) }
    }
}
