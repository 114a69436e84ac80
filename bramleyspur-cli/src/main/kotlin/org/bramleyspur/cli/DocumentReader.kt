package org.bramleyspur.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val HTTP_OK = 200

/**
 * Fetches the document in force with a GET of [path] from the first of [addresses] that returns it; each call times out
 * after [timeoutMs]. A follower redirects to the leader. The error tells why the last address returned none.
 */
internal fun readDocumentInForce(
    addresses: List<ControlAddress>,
    path: String,
    timeoutMs: Int,
): Result<ByteArray, String> {
    val timeout = Duration.ofMillis(timeoutMs.toLong())
    val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .followRedirects(HttpClient.Redirect.NORMAL)
        .connectTimeout(timeout)
        .build()
    var reason = ""
    for (address in addresses) {
        reason = try {
            val request = HttpRequest.newBuilder(URI.create("http://$address$path")).timeout(timeout).build()
            val response = client.send(request, HttpResponse.BodyHandlers.ofByteArray())
            if (response.statusCode() == HTTP_OK) return Ok(response.body())
            "$address: status ${response.statusCode()}"
        } catch (e: IOException) {
            "$address: ${e.message ?: e.javaClass.simpleName}"
        } catch (e: IllegalArgumentException) {
            "$address: ${e.message}"
        }
    }
    return Err(reason)
}
