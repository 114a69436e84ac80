/*
 * Weighs the replacement of the slow members of a group by spares: the group runs at the pace of its slowest member,
 * and serves nothing while it is formed again.
 */
package org.bramleyspur.control.group

/**
 * The pace of an engine as far as it is known.
 *
 * @property factor by which its work takes longer than usual
 * @property slowForMs for how long it has been found slow
 */
internal data class EngineSpeed(val engine: EngineIncarnation, val factor: Double, val slowForMs: Long = 0)

/**
 * A replacement of slow members that gains more than it costs.
 *
 * @property slowest the slowest of the members that are replaced
 * @property slowForMs for how long the replaced members have been slow
 * @property gainMs time that the group gains, beyond that of its reform
 */
internal data class MemberReplacement(val slowest: EngineIncarnation, val slowForMs: Long, val gainMs: Double)

/**
 * The best replacement of [members] by [spares], of which the group has to be formed again for [reformMs]; null if none
 * gains more than that. The slowness of a member counts for as long again as it has lasted.
 */
internal fun bestReplacement(
    members: List<EngineSpeed>,
    spares: List<EngineSpeed>,
    reformMs: Double,
): MemberReplacement? {
    val slowestFirst = members.sortedByDescending { it.factor }
    val fastestFirst = spares.sortedBy { it.factor }
    val before = slowestFirst.firstOrNull()?.factor ?: return null
    val pairs = slowestFirst.zip(fastestFirst).takeWhile { (member, spare) -> spare.factor < member.factor }
    return pairs.indices.map { last ->
        val replaced = pairs.take(last + 1)
        val rest = slowestFirst.drop(last + 1).map { it.factor }
        val after = (rest + replaced.map { (_, spare) -> spare.factor }).max()
        val slowForMs = replaced.minOf { (member, _) -> member.slowForMs }
        MemberReplacement(slowestFirst.first().engine, slowForMs, slowForMs * (1 - after / before) - reformMs)
    }.filter { it.gainMs > 0 }.maxByOrNull { it.gainMs }
}
