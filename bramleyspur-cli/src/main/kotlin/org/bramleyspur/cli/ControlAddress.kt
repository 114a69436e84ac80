package org.bramleyspur.cli

/** Address of a control instance. */
internal data class ControlAddress(val host: String, val port: Int) {
    override fun toString() = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        /** Parses `host:port`, with an IPv6 address in brackets; null if [text] is invalid. */
        fun parse(text: String): ControlAddress? {
            val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isBlank() || port == null || port !in 1..65_535) null else ControlAddress(host, port)
        }
    }
}

/** Parses addresses separated by commas; if [text] is invalid, [IllegalArgumentException] says what to give instead. */
internal fun parseControlAddresses(text: String?): List<ControlAddress> {
    require(!text.isNullOrBlank()) {
        "no control instance is given; give --control host:port,host:port or set $CONTROL_VARIABLE"
    }
    return text.split(',').map { part ->
        requireNotNull(ControlAddress.parse(part.trim())) { "\"$part\" in --control is not an address; give host:port" }
    }
}
