package org.bramleyspur.core.settings

import com.github.michaelbull.result.get
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an address that cannot be connected to, is looked up by name, or throws where it is used. */
class AddressTest {
    private val invalid = listOf(
        "", ":", ":80", "nonsense", "10.0.0.9", "10.0.0.9:", "10.0.0.9:http", "10.0.0.9:-1", "10.0.0.9:65536",
        "10.0.0.9:99999", "10.0.0.9:8080:8081", "10.0.0.9:+80", "10.0.0.9:00000080", "10.0.0.9: 80", " 10.0.0.9:80",
        "10.0.0.9:80\n", "10.0.0.9\u0000:80", "10.0.0:80", "10.0.0.0.9:80", "10.0.0.256:80", "10.0.0.:80",
        "10.0.0.09:80", "10.0.0.\u0669:80", "10.0.0.9:\u0668\u0660", "cafe:80", "bad.cafe:80", "[cafe]:80", "[::1:80",
        ":::80:80", "localhost:80", "1:2:3:80", "9".repeat(5_000) + ":80", "10.0.0.9:" + "9".repeat(5_000),
    )

    private val valid = listOf("10.0.0.9:8080", "127.0.0.1:0", "0.0.0.0:65535", "[::1]:80", "[fd00::a:1]:1", "::1:80")

    private val notConnectable = listOf("10.0.0.9:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "255.255.255.255:80")

    @TestFactory
    fun `only IP addresses with a port are accepted`() = invalid.map { it to false }.plus(valid.map { it to true })
        .map { (text, accepted) ->
            DynamicTest.dynamicTest("'${text.take(40)}'") {
                val address = Address.parse(text).get()
                expectThat(address != null).isEqualTo(accepted)
                expectThat(address?.toSocketAddress()?.isUnresolved ?: false).isEqualTo(false)
            }
        }

    @TestFactory
    fun `a server's address is one that can be connected to`() =
        (invalid + notConnectable).map { it to false }.plus(listOf("10.0.0.9:8080", "[::1]:80").map { it to true })
            .map { (text, accepted) ->
                DynamicTest.dynamicTest("'${text.take(40)}'") {
                    expectThat(Address.parseServer(text).get() != null).isEqualTo(accepted)
                }
            }
}
