package org.bramleyspur.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.net.InetSocketAddress

/** An IP address and a TCP port; port 0 lets the system choose one. */
data class Address(val host: String, val port: Int) {
    /** Converts to a socket address without a DNS look-up. */
    fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `IP:PORT`; the error includes the remedy. */
        fun parse(text: String): Result<Address, String> {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return when {
                host.isEmpty() -> Err("has no port; give IP:PORT, such as 127.0.0.1:8080")
                port == null || port !in 0..MAX_PORT -> Err("has a bad port; give a port between 0 and $MAX_PORT")
                !host.all { it.isDigit() || it in ".:[]abcdefABCDEF" } -> Err("is not an IP address; give IP:PORT")
                else -> Ok(Address(host, port))
            }
        }
    }
}
