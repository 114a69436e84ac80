package org.bramleyspur.cli

/** Address of a control instance. */
internal data class ControlAddress(val host: String, val port: Int) {
    override fun toString() = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        /** Reads `host:port`, with an IPv6 address in brackets; null when [text] is something else. */
        fun parse(text: String): ControlAddress? {
            val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isBlank() || port == null || port !in 1..65_535) null else ControlAddress(host, port)
        }
    }
}

/** Reads addresses separated by commas; throws [IllegalArgumentException] with the remedy when [text] is wrong. */
internal fun controlAddresses(text: String?): List<ControlAddress> {
    require(!text.isNullOrBlank()) {
        "no control instance is given; give --control host:port,host:port or set $CONTROL_VARIABLE"
    }
    return text.split(',').map { part ->
        requireNotNull(ControlAddress.parse(part.trim())) { "\"$part\" in --control is not an address; give host:port" }
    }
}
