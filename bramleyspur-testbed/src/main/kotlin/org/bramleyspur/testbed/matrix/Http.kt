/*
 * HTTP requests of the test harness to the admin interfaces of the stand-ins, the relay and the platform ports.
 */
package org.bramleyspur.testbed.matrix

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

internal object Http {
    /** The shared HTTP client; HTTP/1.1 only, to avoid upgrade attempts. */
    val client: HttpClient =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build()

    private val timeout = Duration.ofMillis(700)

    /** Returns the body of a 200 response, or null if none arrives within the timeout. */
    fun get(url: String): String? = exchange(HttpRequest.newBuilder(URI(url)).timeout(timeout).build())

    /** Sends [body] and returns the body of a 200 response, or null if none arrives within the timeout. */
    fun post(url: String, body: String): String? = exchange(
        HttpRequest.newBuilder(URI(url)).timeout(timeout).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
    )

    private fun exchange(request: HttpRequest): String? = try {
        client.send(request, HttpResponse.BodyHandlers.ofString()).takeIf { it.statusCode() == 200 }?.body()
    } catch (_: IOException) {
        null
    }
}
