/*
 * Cases of a request whose backend server is silent for a while and then goes on, and scripts of its backend servers.
 */
package org.bramleyspur.daemon.forward

import org.bramleyspur.core.document.RouteKind

/** What the backend server has sent before it is silent. */
internal enum class SentBefore(val kind: RouteKind, val events: Int) {
    THREE_EVENTS(RouteKind.STREAMING, 3),
    NO_EVENT(RouteKind.STREAMING, 0),
    NO_BYTE(RouteKind.IDEMPOTENT, 0),
}

/** What the other backend servers do. */
internal enum class Others { REFUSE, BREAK_OFF, FAIL, DO_NOT_ACCEPT, CONTINUE, ARE_SILENT }

internal class SilentBackendCase(val before: SentBefore, val others: Others, val silentMs: Long) {
    val service = "$before-$others-$silentMs"
    val path = "/$service/"

    fun servers(): List<ScriptedBackend> {
        val silent = ScriptedBackend(listOf<(String) -> Script>({ silent(it, 0) }, { complete(it, 0) }))
        return listOf(silent) + (1..2).map { index -> ScriptedBackend(listOf { other(it, index) }) }
    }

    private fun silent(head: String, index: Int): Script {
        val whole = complete(head, index).bytes
        if (before.events == 0 || index > 0) return Script("", pauseMs = silentMs, afterPause = whole)
        val sent = whole.substring(0, whole.indexOf(event(head, index, before.events + 1)) - CHUNK_SIZE_CHARS)
        return Script(sent, pauseMs = silentMs, afterPause = whole.removePrefix(sent))
    }

    private fun other(head: String, index: Int): Script = when (others) {
        Others.REFUSE -> Script("HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n")
        Others.BREAK_OFF -> Script(brokenOff(head, index), close = true)
        Others.FAIL -> Script("HTTP/1.1 500 Failed\r\n$IDENTITY\r\nContent-Length: 0\r\n\r\n")
        Others.DO_NOT_ACCEPT -> error("it accepts no connection")
        Others.CONTINUE -> complete(head, index)
        Others.ARE_SILENT -> silent(head, index)
    }

    private fun brokenOff(head: String, index: Int): String {
        val whole = complete(head, index).bytes
        if (before == SentBefore.NO_BYTE) return whole.dropLast(PLAIN_BODY.length / 2)
        val first = event(head, index, lastEventId(head) + 1)
        return whole.substring(0, whole.indexOf(first) + first.length)
    }

    private fun complete(head: String, index: Int): Script {
        if (before == SentBefore.NO_BYTE) {
            return Script("HTTP/1.1 200 OK\r\n$IDENTITY\r\nContent-Length: ${PLAIN_BODY.length}\r\n\r\n$PLAIN_BODY")
        }
        val chunks = (lastEventId(head) + 1..EVENTS).joinToString("") { id ->
            event(head, index, id).let { "%02x\r\n%s\r\n".format(it.length, it) }
        }
        return Script("HTTP/1.1 200 OK\r\n$IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n")
    }

    /** An event that names its run by the backend server and the event after which the run was to begin. */
    private fun event(head: String, index: Int, id: Int) =
        "id: %02d\ndata: %d/%d\n\n".format(id, index, lastEventId(head))

    private fun lastEventId(head: String) =
        Regex("(?i)last-event-id: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0

    companion object {
        const val PLAIN_BODY = "0123456789"
        const val EVENTS = 12
        private const val IDENTITY = "$ATTEMPT_ID_HEADER: 7\r\n$SEAL_HEADER: s"
        private const val CHUNK_SIZE_CHARS = 4

        /**
         * What is wrong with the events of [body] of a stream that must be whole; null if nothing: one that is missing
         * or repeated, or one of a run that was to begin before the event that precedes it from another run.
         */
        fun wrongEvents(body: String): String? {
            val events = Regex("id: (\\d+)\ndata: (\\d)/(\\d+)\n\n").findAll(body).map { it.groupValues }.toList()
            if (events.map { it[1].toInt() } != (1..EVENTS).toList()) return "events ${events.map { it[1] }}"
            return events.zipWithNext().firstOrNull { (last, next) ->
                last.drop(2) != next.drop(2) && next[3].toInt() != last[1].toInt()
            }?.let { "joined $it" }
        }
    }
}
