package org.bramleyspur.core.document

/** Validates the document; returns the first of its [errors], or null when it is valid. */
fun Document.validate(knownRegions: Set<String> = emptySet()): DocumentError? = errors(knownRegions).firstOrNull()

/**
 * All errors of the document, at most one for each route or account. Regions that it names must be among
 * [knownRegions], if any are known.
 */
fun Document.errors(knownRegions: Set<String> = emptySet()): Sequence<DocumentError> = sequence {
    yieldAll(routes.mapNotNull { routeError(it) })
    duplicates(routes.map { it.host.lowercase() to it.pathPrefix }).forEach {
        yield("two routes share host '${it.first}' and prefix '${it.second}'; keep one of them")
    }
    if (duplicates(accounts.orEmpty().flatMap { it.keys }).isNotEmpty()) {
        yield("two accounts share a key; give each its own")
    }
    yieldAll(regionErrors(knownRegions))
}.map { DocumentError(it) }

private fun Document.regionErrors(knownRegions: Set<String>): List<String> {
    if (knownRegions.isEmpty()) return emptyList()
    val named = routes.map { "route '${it.name}'" to it.allowedRegions } +
        accounts.orEmpty().map { "account '${it.name}'" to it.allowedRegions }
    return named.mapNotNull { (owner, regions) ->
        regions?.firstOrNull { it !in knownRegions }
            ?.let { "$owner names the unknown region '$it'; give one of ${knownRegions.sorted().joinToString()}" }
    }
}

private fun Document.routeError(route: DocumentRoute): String? {
    val unknown = route.targets.firstOrNull { it.service !in services }
    return when {
        unknown != null -> "route '${route.name}' names the unknown service '${unknown.service}'; declare the service"
        route.targets.any { it.weight < 0 } -> "route '${route.name}' has a negative weight; give 0 or more"
        route.targets.sumOf {
            it.weight.toLong()
        } <= 0 -> "the weights of route '${route.name}' add up to 0; give one above 0"
        route.timeoutMs <= 0 -> "route '${route.name}' has a timeout of ${route.timeoutMs} ms; give more than 0"
        !route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/') ->
            "the prefix of route '${route.name}' must begin and end with a slash; correct '${route.pathPrefix}'"
        else -> null
    }
}

/** The items that occur more than once, each of them once. */
private fun <T> duplicates(items: List<T>): Set<T> {
    val seen = HashSet<T>()
    return items.filterNot { seen.add(it) }.toSet()
}
