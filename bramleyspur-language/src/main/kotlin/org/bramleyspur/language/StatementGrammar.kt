package org.bramleyspur.language

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.optional
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.unaryMinus
import com.github.h0tk3y.betterParse.combinators.zeroOrMore
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.parser.Parser

/** The grammar of statements. Each text needs its own instance, since [expectations] belongs to the text. */
internal class StatementGrammar(expectations: Expectations) {
    private val values = ValueParsers(expectations)
    private val properties = PropertyParsers(values, expectations)
    private val name = values.name

    private val create: Parser<Statement> =
        (
            -values.keywords("create", "service") and name and properties.newService map { (name, draft) ->
                CreateService(name, draft.plain, draft.properties)
            }
            ) or
            (
                -values.keywords("create", "account") and name and properties.newAccount map { (name, properties) ->
                    CreateAccount(name, properties)
                }
                )

    private val alter: Parser<Statement> =
        (
            -values.keywords("alter", "service") and name and properties.changedService map { (name, properties) ->
                AlterService(name, properties)
            }
            ) or
            (
                -values.keywords("alter", "account") and name and properties.changedAccount map { (name, properties) ->
                    AlterAccount(name, properties)
                }
                )

    private val drop: Parser<Statement> =
        withName("drop", "service") { DropService(it) } or withName("drop", "account") { DropAccount(it) }

    private val instanceCommand: Parser<Statement> =
        withName("drain", "instance") { DrainInstance(it) } or withName("return", "instance") { ReturnInstance(it) }

    private val dataCentre: Parser<String> = -values.keywords("data", "centre") and name

    private val dataCentreCommand: Parser<Statement> =
        (-values.keyword("evacuate") and dataCentre map { EvacuateDataCentre(it) }) or
            (-values.keyword("return") and dataCentre map { ReturnDataCentre(it) })

    private val rollOut: Parser<Statement> =
        -(values.keywords("roll", "out") or values.keyword("rollout")) and name and -values.keyword("to") and name map
            { (service, version) -> RollOut(service, version) }

    private val rollBack: Parser<Statement> =
        -(values.keywords("roll", "back") or values.keyword("rollback")) and name map { RollBack(it) }

    private val replacedMember: Parser<String> =
        -values.keywords("in", "place") and -values.keyword("of") and name

    private val admit: Parser<Statement> =
        -values.keywords("admit", "control") and name and -values.keyword("at") and name and
            optional(replacedMember) map { (id, address, replaced) -> AdmitControl(id, address, replaced) }

    private val memberCommand: Parser<Statement> = admit or withName("remove", "control") { RemoveControl(it) }

    private val why: Parser<Statement> = -values.keyword("why") and name map { Why(it) }

    private val showChange: Parser<Statement> =
        -values.keywords("show", "change") and values.long map { ShowChange(it) }

    private val show: Parser<Statement> =
        showAll("services", Subject.SERVICES) or
            withName("show", "service") { Show(Subject.SERVICES, it) } or
            showOfService("replicas", Subject.REPLICAS) or
            showOfService("instances", Subject.INSTANCES) or
            showAll("accounts", Subject.ACCOUNTS) or
            showAll("changes", Subject.CHANGES) or
            showChange or
            showAll("control", Subject.CONTROL) or
            showAll("evacuations", Subject.EVACUATIONS) or
            showAll("configuration", Subject.CONFIGURATION)

    private val statement: Parser<Statement> =
        create or alter or drop or instanceCommand or dataCentreCommand or rollOut or rollBack or memberCommand or
            show or why

    /** Statements separated by semicolons; empty statements are left out. */
    val statements: Parser<List<Statement>> =
        optional(statement) and zeroOrMore(-values.semicolon and optional(statement)) map { (first, rest) ->
            listOfNotNull(first) + rest.filterNotNull()
        }

    private fun withName(verb: String, noun: String, build: (String) -> Statement): Parser<Statement> =
        -values.keywords(verb, noun) and name map { build(it) }

    private fun showAll(noun: String, subject: Subject): Parser<Statement> =
        values.keywords("show", noun).map { _: TokenMatch -> Show(subject) }

    private fun showOfService(noun: String, subject: Subject): Parser<Statement> =
        -values.keywords("show", noun) and optional(-values.keyword("of") and name) map { Show(subject, it) }
}
