/*
 * Writing of statements as text. The parser reads the text back to the same statement.
 */
package org.bramleyspur.language

/** The statement as text without a semicolon; [parse] reads it back to the same statement. */
fun Statement.toText(): String = when (this) {
    is Command -> commandText()
    is MemberCommand -> memberText()
    is Query -> queryText()
}

/** The statements as text, one a line, each ended by a semicolon. */
fun Iterable<Statement>.toText(): String = joinToString("") { "${it.toText()};\n" }

private fun Command.commandText(): String = when (this) {
    is CreateService -> words("create service", quoted(name), "plain".takeIf { plain }, properties.text())
    is AlterService -> words("alter service", quoted(name), properties.text())
    is DropService -> words("drop service", quoted(name))
    is CreateAccount -> words("create account", quoted(name), properties.text())
    is AlterAccount -> words("alter account", quoted(name), properties.text())
    is DropAccount -> words("drop account", quoted(name))
    is DrainInstance -> words("drain instance", quoted(instance))
    is ReturnInstance -> words("return instance", quoted(instance))
    is RollOut -> words("roll out", quoted(service), "to", literal(version))
    is RollBack -> words("roll back", quoted(service))
}

private fun MemberCommand.memberText(): String = when (this) {
    is AdmitControl -> words(
        "admit control ${literal(id)} at ${literal(address)}",
        inPlaceOf?.let { "in place of ${literal(it)}" },
    )
    is RemoveControl -> "remove control ${literal(id)}"
}

private fun Query.queryText(): String = when (this) {
    is Show -> showText()
    is ShowChange -> "show change $revision"
    is Why -> words("why", quoted(service))
}

private fun Show.showText(): String {
    val name = service?.let { quoted(it) }
    return when {
        name == null -> "show ${subject.name.lowercase()}"
        subject == Subject.SERVICES -> "show service $name"
        else -> "show ${subject.name.lowercase()} of $name"
    }
}

private fun ServiceProperties.text(): String = words(
    model?.let { "model ${literal(it)}" },
    version?.let { "version ${literal(it)}" },
    adapters?.let { "adapters ${list(it)}" },
    instancesPerReplica?.let { "instances $it" },
    placements?.let { "replicas ${placementText(it)}" },
    accounts?.let { "accounts ${list(it)}" },
    nonIdempotent?.let { if (it) "non idempotent" else "idempotent" },
    idempotencyRetentionMs?.let { "retention ${duration(it)}" },
    timeoutMs?.let { "timeout ${duration(it)}" },
)

private fun AccountProperties.text(): String = words(
    keyDigest?.let { "key sha256 ${literal(it)}" },
    maxConcurrent?.let { "limit $it" },
    weight?.let { "weight $it" },
    priority?.let { "priority $it" },
    patienceMs?.let { "patience ${duration(it)}" },
)

private fun placementText(placements: Map<String, Int>): String =
    if (placements.isEmpty()) NONE else placements.entries.joinToString { "${quoted(it.key)} ${it.value}" }

private fun list(names: List<String>): String = if (names.isEmpty()) NONE else names.joinToString { literal(it) }

private fun duration(ms: Long): String {
    val (unit, factor) = durationUnits.first { ms % it.second == 0L && (ms != 0L || it.second == 1L) }
    return "${ms / factor} $unit"
}

/** A name, quoted only if it is not a word. */
private fun quoted(name: String): String =
    if (isWord(name) && !name.equals(NONE, ignoreCase = true)) name else literal(name)

private fun literal(value: String): String = "'${value.replace("'", "''")}'"

private fun words(vararg parts: String?): String = parts.filterNot { it.isNullOrEmpty() }.joinToString(" ")
