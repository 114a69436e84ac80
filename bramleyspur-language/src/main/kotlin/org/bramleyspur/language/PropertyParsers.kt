package org.bramleyspur.language

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.oneOrMore
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.zeroOrMore
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.parser.Parser

/** A property that a statement sets: its [name], its [keyword] in the text, and [set], which sets it in a [P]. */
internal class PropertyAssignment<P>(val name: String, val keyword: TokenMatch, val set: (P) -> P)

/** Kind and properties of a service that a `create service` statement has given so far. */
internal data class ServiceDraft(val plain: Boolean = false, val properties: ServiceProperties = ServiceProperties())

/** Parsers of the properties of services and client accounts. */
internal class PropertyParsers(private val values: ValueParsers, private val expectations: Expectations) {
    private val serviceProperty: Parser<PropertyAssignment<ServiceProperties>> =
        assignToService("model", values.keyword("model"), values.name) { p, v -> p.copy(model = v) } or
            assignToService("version", values.keyword("version"), values.name) { p, v -> p.copy(version = v) } or
            assignToService("adapters", values.keyword("adapters", "adapter"), values.names) { p, v ->
                p.copy(adapters = v)
            } or
            assignToService("instances", values.keyword("instances", "instance"), values.int) { p, v ->
                p.copy(instancesPerReplica = v)
            } or
            assignToService("replicas", values.keyword("replicas", "replica"), values.placements) { p, v ->
                p.copy(placements = v)
            } or
            assignToService("accounts", values.keyword("accounts", "account"), values.names) { p, v ->
                p.copy(accounts = v)
            } or
            idempotency() or
            assignToService("retention", values.keyword("retention"), values.duration) { p, v ->
                p.copy(idempotencyRetentionMs = v)
            } or
            assignToService("timeout", values.keyword("timeout"), values.duration) { p, v -> p.copy(timeoutMs = v) }

    private val accountProperty: Parser<PropertyAssignment<AccountProperties>> =
        assignToAccount("key", values.keywords("key", "sha256"), values.name) { p, v -> p.copy(keyDigest = v) } or
            assignToAccount("limit", values.keyword("limit"), concurrencyLimit()) { p, v ->
                p.copy(maxConcurrent = v)
            } or
            assignToAccount("weight", values.keyword("weight"), values.int) { p, v -> p.copy(weight = v) } or
            assignToAccount("priority", values.keyword("priority"), values.int) { p, v -> p.copy(priority = v) } or
            assignToAccount("patience", values.keyword("patience"), values.duration) { p, v -> p.copy(patienceMs = v) }

    /** Kind and properties in a `create service` statement. */
    val newService: Parser<ServiceDraft> = zeroOrMore(draftProperty()).map { combine(it, ServiceDraft()) }

    /** Properties in an `alter service` statement, at least one. */
    val changedService: Parser<ServiceProperties> = oneOrMore(serviceProperty).map { combine(it, ServiceProperties()) }

    /** Properties in a `create account` statement. */
    val newAccount: Parser<AccountProperties> = zeroOrMore(accountProperty).map { combine(it, AccountProperties()) }

    /** Properties in an `alter account` statement, at least one. */
    val changedAccount: Parser<AccountProperties> = oneOrMore(accountProperty).map { combine(it, AccountProperties()) }

    private fun draftProperty(): Parser<PropertyAssignment<ServiceDraft>> {
        val plain = values.keyword("plain").map { keyword ->
            PropertyAssignment<ServiceDraft>("plain", keyword) { it.copy(plain = true) }
        }
        val property = serviceProperty.map { assignment ->
            PropertyAssignment<ServiceDraft>(assignment.name, assignment.keyword) {
                it.copy(properties = assignment.set(it.properties))
            }
        }
        return plain or property
    }

    private fun idempotency(): Parser<PropertyAssignment<ServiceProperties>> {
        val nonIdempotent = values.keywords("non", "idempotent") or values.keyword("non-idempotent")
        return assignNonIdempotent(nonIdempotent, true) or assignNonIdempotent(values.keyword("idempotent"), false)
    }

    private fun assignNonIdempotent(
        keyword: Parser<TokenMatch>,
        value: Boolean,
    ): Parser<PropertyAssignment<ServiceProperties>> =
        keyword.map { match -> PropertyAssignment("idempotent", match) { it.copy(nonIdempotent = value) } }

    private fun concurrencyLimit(): Parser<Int> = values.keyword(NONE).map { 0 } or values.int

    private inline fun <reified V> assignToService(
        name: String,
        keyword: Parser<TokenMatch>,
        value: Parser<V>,
        crossinline set: (ServiceProperties, V) -> ServiceProperties,
    ): Parser<PropertyAssignment<ServiceProperties>> =
        keyword and value map { (match, v) -> PropertyAssignment(name, match) { p -> set(p, v) } }

    private inline fun <reified V> assignToAccount(
        name: String,
        keyword: Parser<TokenMatch>,
        value: Parser<V>,
        crossinline set: (AccountProperties, V) -> AccountProperties,
    ): Parser<PropertyAssignment<AccountProperties>> =
        keyword and value map { (match, v) -> PropertyAssignment(name, match) { p -> set(p, v) } }

    private fun <P> combine(assignments: List<PropertyAssignment<P>>, initial: P): P {
        val seenNames = mutableSetOf<String>()
        assignments.filterNot { seenNames.add(it.name) }.forEach {
            expectations.reject(it.keyword, "the property ${it.name} is given twice; give it once")
        }
        return assignments.fold(initial) { properties, assignment -> assignment.set(properties) }
    }
}
