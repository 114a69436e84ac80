/*
 * Formats statements as text.
 */
package org.bramleyspur.language

/** The statement as text without a semicolon; [parse] gives an equal statement. */
fun Statement.toText(): String = when (this) {
    is Command -> commandText()
    is MemberCommand -> memberCommandText()
    is Query -> queryText()
}

/** The statements as text, one per line, each terminated by a semicolon. */
fun Iterable<Statement>.toText(): String = joinToString("") { "${it.toText()};\n" }

private fun Command.commandText(): String = when (this) {
    is CreateService -> joinParts("create service", nameLiteral(name), "plain".takeIf { plain }, properties.text())
    is AlterService -> joinParts("alter service", nameLiteral(name), properties.text())
    is DropService -> joinParts("drop service", nameLiteral(name))
    is CreateAccount -> joinParts("create account", nameLiteral(name), properties.text())
    is AlterAccount -> joinParts("alter account", nameLiteral(name), properties.text())
    is DropAccount -> joinParts("drop account", nameLiteral(name))
    is DrainInstance -> joinParts("drain instance", nameLiteral(instance))
    is ReturnInstance -> joinParts("return instance", nameLiteral(instance))
    is EvacuateDataCentre -> joinParts("evacuate data centre", nameLiteral(dataCentre))
    is ReturnDataCentre -> joinParts("return data centre", nameLiteral(dataCentre))
    is RollOut -> joinParts("roll out", nameLiteral(service), "to", stringLiteral(version))
    is RollBack -> joinParts("roll back", nameLiteral(service))
}

private fun MemberCommand.memberCommandText(): String = when (this) {
    is AdmitControl -> joinParts(
        "admit control ${stringLiteral(id)} at ${stringLiteral(address)}",
        replacedMember?.let { "in place of ${stringLiteral(it)}" },
    )
    is RemoveControl -> "remove control ${stringLiteral(id)}"
}

private fun Query.queryText(): String = when (this) {
    is Show -> showText()
    is ShowChange -> "show change $revision"
    is Why -> joinParts("why", nameLiteral(service))
}

private fun Show.showText(): String {
    val name = service?.let { nameLiteral(it) }
    return when {
        name == null -> "show ${subject.name.lowercase()}"
        subject == Subject.SERVICES -> "show service $name"
        else -> "show ${subject.name.lowercase()} of $name"
    }
}

private fun ServiceProperties.text(): String = joinParts(
    model?.let { "model ${stringLiteral(it)}" },
    version?.let { "version ${stringLiteral(it)}" },
    adapters?.let { "adapters ${nameList(it)}" },
    instancesPerReplica?.let { "instances $it" },
    placements?.let { "replicas ${placementText(it)}" },
    accounts?.let { "accounts ${nameList(it)}" },
    nonIdempotent?.let { if (it) "non idempotent" else "idempotent" },
    idempotencyRetentionMs?.let { "retention ${duration(it)}" },
    timeoutMs?.let { "timeout ${duration(it)}" },
)

private fun AccountProperties.text(): String = joinParts(
    keyDigest?.let { "key sha256 ${stringLiteral(it)}" },
    maxConcurrent?.let { "limit $it" },
    weight?.let { "weight $it" },
    priority?.let { "priority $it" },
    patienceMs?.let { "patience ${duration(it)}" },
)

private fun placementText(placements: Map<String, Int>): String =
    if (placements.isEmpty()) NONE else placements.entries.joinToString { "${nameLiteral(it.key)} ${it.value}" }

private fun nameList(names: List<String>): String =
    if (names.isEmpty()) NONE else names.joinToString { stringLiteral(it) }

private fun duration(ms: Long): String {
    val (unit, factor) = durationUnits.first { ms % it.second == 0L && (ms != 0L || it.second == 1L) }
    return "${ms / factor} $unit"
}

/** [name] as a word if it can be read back as one, else as a string. */
private fun nameLiteral(name: String): String =
    if (isWord(name) && !name.equals(NONE, ignoreCase = true)) name else stringLiteral(name)

private fun stringLiteral(value: String): String = "'${value.replace("'", "''")}'"

private fun joinParts(vararg parts: String?): String = parts.filterNot { it.isNullOrEmpty() }.joinToString(" ")
