package org.bramleyspur.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import java.net.Inet4Address
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.UnknownHostException

/** An IP address and a TCP port; port 0 lets the system choose one. */
data class Address(val host: String, val port: Int) {
    /** Converts to a socket address without a DNS look-up. */
    fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_PORT_DIGITS = 5

        /** Longer than any address in text form, with its port. */
        private const val MAX_TEXT_CHARS = 64
        private const val IPV4_PARTS = 4
        private const val MAX_IPV4_PART_DIGITS = 3
        private const val MAX_IPV4_PART = 255
        private const val BROADCAST = "255.255.255.255"

        /** Parses `IP:PORT`; the error includes the remedy. */
        fun parse(text: String): Result<Address, String> {
            val host = text.substringBeforeLast(':', "")
            val port = portOf(text.substringAfterLast(':'))
            return when {
                text.length > MAX_TEXT_CHARS -> Err("is longer than $MAX_TEXT_CHARS characters; give IP:PORT")
                host.isEmpty() -> Err("has no port; give IP:PORT, such as 127.0.0.1:8080")
                port == null -> Err("has a bad port; give a port between 0 and $MAX_PORT")
                !isIpv4(host) && !isIpv6(host) -> Err("is not an IP address; give IP:PORT")
                else -> Ok(Address(host, port))
            }
        }

        /** Parses the `IP:PORT` of a server to connect to; the error includes the remedy. */
        fun parseServer(text: String): Result<Address, String> = parse(text).andThen {
            val ip = InetAddress.getByName(it.host)
            when {
                it.port == 0 -> Err("has a bad port; give a port between 1 and $MAX_PORT")
                ip.isAnyLocalAddress || ip.isMulticastAddress || ip.hostAddress == BROADCAST ->
                    Err("is not the address of a single server; give its IP:PORT")
                else -> Ok(it)
            }
        }

        private fun portOf(text: String): Int? =
            if (isDecimal(text, MAX_PORT_DIGITS)) text.toInt().takeIf { it <= MAX_PORT } else null

        private fun isIpv4(host: String): Boolean {
            val parts = host.split('.')
            return parts.size == IPV4_PARTS && parts.all { isIpv4Part(it) }
        }

        /** A leading zero is refused, since some programs take the part for an octal number. */
        private fun isIpv4Part(part: String): Boolean = isDecimal(part, MAX_IPV4_PART_DIGITS) &&
            part.toInt() <= MAX_IPV4_PART && (part.length == 1 || part[0] != '0')

        private fun isDecimal(text: String, maxDigits: Int): Boolean =
            text.length in 1..maxDigits && text.all { it in '0'..'9' }

        /** A text with a colon is never looked up by name. */
        private fun isIpv6(host: String): Boolean =
            ':' in host && host.all { it in "0123456789abcdefABCDEF:.[]" } && try {
                InetAddress.getByName(host) !is Inet4Address
            } catch (_: UnknownHostException) {
                false
            }
    }
}
