package org.bramleyspur.language

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.oneOrMore
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.zeroOrMore
import com.github.h0tk3y.betterParse.lexer.TokenMatch
import com.github.h0tk3y.betterParse.parser.Parser

/** One property that a statement sets: its [name], where it is written and how it changes the properties. */
internal class Setting<P>(val name: String, val at: TokenMatch, val set: (P) -> P)

/** Properties of a service while a `create service` statement is read. */
internal data class ServiceDraft(val plain: Boolean = false, val properties: ServiceProperties = ServiceProperties())

/** Parsers of the properties of services and client accounts. */
internal class Settings(private val values: Values, private val expectations: Expectations) {
    private val serviceSetting: Parser<Setting<ServiceProperties>> =
        ofService("model", values.keyword("model"), values.name) { p, v -> p.copy(model = v) } or
            ofService("version", values.keyword("version"), values.name) { p, v -> p.copy(version = v) } or
            ofService("adapters", values.keyword("adapters", "adapter"), values.names) { p, v ->
                p.copy(adapters = v)
            } or
            ofService("instances", values.keyword("instances", "instance"), values.int) { p, v ->
                p.copy(instancesPerReplica = v)
            } or
            ofService("replicas", values.keyword("replicas", "replica"), values.placements) { p, v ->
                p.copy(placements = v)
            } or
            ofService("accounts", values.keyword("accounts", "account"), values.names) { p, v ->
                p.copy(accounts = v)
            } or
            idempotence() or
            ofService("retention", values.keyword("retention"), values.duration) { p, v ->
                p.copy(idempotencyRetentionMs = v)
            } or
            ofService("timeout", values.keyword("timeout"), values.duration) { p, v -> p.copy(timeoutMs = v) }

    private val accountSetting: Parser<Setting<AccountProperties>> =
        ofAccount("key", values.keywords("key", "sha256"), values.name) { p, v -> p.copy(keyDigest = v) } or
            ofAccount("limit", values.keyword("limit"), limit()) { p, v -> p.copy(maxConcurrent = v) } or
            ofAccount("weight", values.keyword("weight"), values.int) { p, v -> p.copy(weight = v) } or
            ofAccount("priority", values.keyword("priority"), values.int) { p, v -> p.copy(priority = v) } or
            ofAccount("patience", values.keyword("patience"), values.duration) { p, v -> p.copy(patienceMs = v) }

    /** Properties of a service that is created. */
    val newService: Parser<ServiceDraft> = zeroOrMore(draftSetting()).map { combine(it, ServiceDraft()) }

    /** At least one property of a service that exists. */
    val changedService: Parser<ServiceProperties> = oneOrMore(serviceSetting).map { combine(it, ServiceProperties()) }

    /** Properties of an account that is created. */
    val newAccount: Parser<AccountProperties> = zeroOrMore(accountSetting).map { combine(it, AccountProperties()) }

    /** At least one property of an account that exists. */
    val changedAccount: Parser<AccountProperties> = oneOrMore(accountSetting).map { combine(it, AccountProperties()) }

    private fun draftSetting(): Parser<Setting<ServiceDraft>> {
        val plain = values.keyword("plain").map { at ->
            Setting<ServiceDraft>("plain", at) { it.copy(plain = true) }
        }
        val property = serviceSetting.map { setting ->
            Setting<ServiceDraft>(setting.name, setting.at) { it.copy(properties = setting.set(it.properties)) }
        }
        return plain or property
    }

    private fun idempotence(): Parser<Setting<ServiceProperties>> {
        val nonIdempotent = values.keywords("non", "idempotent") or values.keyword("non-idempotent")
        return flag(nonIdempotent, true) or flag(values.keyword("idempotent"), false)
    }

    private fun flag(keyword: Parser<TokenMatch>, value: Boolean): Parser<Setting<ServiceProperties>> =
        keyword.map { at -> Setting("idempotent", at) { it.copy(nonIdempotent = value) } }

    private fun limit(): Parser<Int> = values.keyword(NONE).map { 0 } or values.int

    private inline fun <reified V> ofService(
        name: String,
        keyword: Parser<TokenMatch>,
        value: Parser<V>,
        crossinline set: (ServiceProperties, V) -> ServiceProperties,
    ): Parser<Setting<ServiceProperties>> = keyword and value map { (at, v) -> Setting(name, at) { p -> set(p, v) } }

    private inline fun <reified V> ofAccount(
        name: String,
        keyword: Parser<TokenMatch>,
        value: Parser<V>,
        crossinline set: (AccountProperties, V) -> AccountProperties,
    ): Parser<Setting<AccountProperties>> = keyword and value map { (at, v) -> Setting(name, at) { p -> set(p, v) } }

    private fun <P> combine(settings: List<Setting<P>>, initial: P): P {
        val seen = mutableSetOf<String>()
        settings.filterNot { seen.add(it.name) }.forEach {
            expectations.reject(it.at, "the property ${it.name} is given twice; give it once")
        }
        return settings.fold(initial) { properties, setting -> setting.set(properties) }
    }
}
