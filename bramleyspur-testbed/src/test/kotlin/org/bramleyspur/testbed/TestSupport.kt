/*
 * Test helpers: loopback addresses, HTTP calls and waiting for a condition without a fixed sleep.
 */
package org.bramleyspur.testbed

import java.io.InputStream
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.locks.LockSupport

internal fun anyPort() = InetSocketAddress("127.0.0.1", 0)

internal val client: HttpClient =
    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(5)).build()

internal fun call(
    port: Int,
    path: String,
    body: String? = null,
    headers: Map<String, String> = emptyMap(),
): HttpResponse<String> = client.send(request(port, path, body, headers), HttpResponse.BodyHandlers.ofString())

/** Sends a call whose response body can be read while it arrives. */
internal fun open(
    port: Int,
    path: String,
    body: String? = null,
    headers: Map<String, String> = emptyMap(),
): HttpResponse<InputStream> =
    client.send(request(port, path, body, headers), HttpResponse.BodyHandlers.ofInputStream())

private fun request(port: Int, path: String, body: String?, headers: Map<String, String>): HttpRequest {
    val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(10))
    headers.forEach { (name, value) -> builder.header(name, value) }
    if (body != null) builder.POST(HttpRequest.BodyPublishers.ofString(body))
    return builder.build()
}

/** Waits until [condition] holds; fails after 5 s. */
internal fun eventually(description: String, condition: () -> Boolean) {
    val deadline = System.nanoTime() + 5_000_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "condition not met within 5 s: $description" }
        LockSupport.parkNanos(2_000_000)
    }
}
