package org.bramleyspur.language

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.optional
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.unaryMinus
import com.github.h0tk3y.betterParse.combinators.zeroOrMore
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.parser.Parser

/** The grammar of statements. One instance reads one text, since [expectations] belongs to the text. */
internal class StatementGrammar(expectations: Expectations) {
    private val values = Values(expectations)
    private val settings = Settings(values, expectations)
    private val name = values.name

    private val create: Parser<Statement> =
        (
            -values.keywords("create", "service") and name and settings.newService map { (name, draft) ->
                CreateService(name, draft.plain, draft.properties)
            }
            ) or
            (
                -values.keywords("create", "account") and name and settings.newAccount map { (name, properties) ->
                    CreateAccount(name, properties)
                }
                )

    private val alter: Parser<Statement> =
        (
            -values.keywords("alter", "service") and name and settings.changedService map { (name, properties) ->
                AlterService(name, properties)
            }
            ) or
            (
                -values.keywords("alter", "account") and name and settings.changedAccount map { (name, properties) ->
                    AlterAccount(name, properties)
                }
                )

    private val drop: Parser<Statement> =
        named("drop", "service") { DropService(it) } or named("drop", "account") { DropAccount(it) }

    private val instances: Parser<Statement> =
        named("drain", "instance") { DrainInstance(it) } or named("return", "instance") { ReturnInstance(it) }

    private val rollOut: Parser<Statement> =
        -(values.keywords("roll", "out") or values.keyword("rollout")) and name and -values.keyword("to") and name map
            { (service, version) -> RollOut(service, version) }

    private val rollBack: Parser<Statement> =
        -(values.keywords("roll", "back") or values.keyword("rollback")) and name map { RollBack(it) }

    private val replaced: Parser<String> =
        -values.keywords("in", "place") and -values.keyword("of") and name

    private val admit: Parser<Statement> =
        -values.keywords("admit", "control") and name and -values.keyword("at") and name and optional(replaced) map
            { (id, address, old) -> AdmitControl(id, address, old) }

    private val members: Parser<Statement> = admit or named("remove", "control") { RemoveControl(it) }

    private val why: Parser<Statement> = -values.keyword("why") and name map { Why(it) }

    private val showChange: Parser<Statement> =
        -values.keywords("show", "change") and values.long map { ShowChange(it) }

    private val show: Parser<Statement> =
        shown("services", Subject.SERVICES) or
            named("show", "service") { Show(Subject.SERVICES, it) } or
            shownOf("replicas", Subject.REPLICAS) or
            shownOf("instances", Subject.INSTANCES) or
            shown("accounts", Subject.ACCOUNTS) or
            shown("changes", Subject.CHANGES) or
            showChange or
            shown("control", Subject.CONTROL) or
            shown("configuration", Subject.CONFIGURATION)

    private val statement: Parser<Statement> =
        create or alter or drop or instances or rollOut or rollBack or members or show or why

    /** Statements separated by semicolons; empty statements are left out. */
    val statements: Parser<List<Statement>> =
        optional(statement) and zeroOrMore(-values.semicolon and optional(statement)) map { (first, rest) ->
            listOfNotNull(first) + rest.filterNotNull()
        }

    private fun named(verb: String, noun: String, build: (String) -> Statement): Parser<Statement> =
        -values.keywords(verb, noun) and name map { build(it) }

    private fun shown(noun: String, subject: Subject): Parser<Statement> =
        values.keywords("show", noun).map { _: TokenMatch -> Show(subject) }

    private fun shownOf(noun: String, subject: Subject): Parser<Statement> =
        -values.keywords("show", noun) and optional(-values.keyword("of") and name) map { Show(subject, it) }
}
