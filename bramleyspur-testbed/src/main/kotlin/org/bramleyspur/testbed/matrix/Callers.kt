/*
 * Clients of the deployment: streams whose text is verified token by token, and plain calls with an idempotency key
 * whose response is verified by digest.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bramleyspur.core.json.parseBounded
import org.bramleyspur.testbed.engine.TokenFunction
import org.bramleyspur.testbed.http.testbedJson
import java.io.IOException
import java.io.InputStream
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.time.Duration
import java.util.HexFormat
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** A running stream; [tokens] counts the tokens received so far. */
internal class RunningStream(val tokens: AtomicInteger, val attempt: Future<CallAttempt>)

/** Sends calls to the entries of [ports] and records their results in [log]. */
internal class Callers(private val ports: Ports, private val log: CallAttemptLog) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val timeoutExecutor = Executors.newScheduledThreadPool(1) { task -> Thread(task).apply { isDaemon = true } }
    private val lastNumber = AtomicInteger()

    /** Starts a stream of [length] tokens with a unique prompt, for the account of [apiKey]. */
    fun stream(entry: Int, length: Int, apiKey: String = API_KEY): RunningStream {
        val tokens = AtomicInteger()
        val prompt = "prompt ${lastNumber.incrementAndGet()}"
        val attempt = executor.submit<CallAttempt> {
            StreamReader(entry, apiKey, prompt, length, tokens).run().also(log::add)
        }
        return RunningStream(tokens, attempt)
    }

    /** Starts one attempt of a plain call that runs for [delayMs]. */
    fun call(entry: Int, key: String, delayMs: Long): Future<CallAttempt> =
        executor.submit<CallAttempt> { sendCall(entry, key, delayMs).also(log::add) }

    /** Runs [task] on a client thread. */
    fun <T> run(task: () -> T): Future<T> = executor.submit<T> { task() }

    /** Returns an unused idempotency key. */
    fun newKey(): String = "key-${lastNumber.incrementAndGet()}"

    override fun close() {
        executor.shutdownNow()
        timeoutExecutor.shutdownNow()
    }

    private fun request(entry: Int, path: String, body: String, apiKey: String = API_KEY) =
        HttpRequest.newBuilder(URI("http://127.0.0.1:${ports.caller(entry)}$path"))
            .header("Authorization", "Bearer $apiKey")
            .header("Content-Type", "application/json")
            .timeout(Duration.ofMillis(CALL_TIMEOUT_MS))
            .POST(HttpRequest.BodyPublishers.ofString(body))

    private fun sendCall(entry: Int, key: String, delayMs: Long): CallAttempt {
        val startNanos = System.nanoTime()
        val body = """{"save":"$key"}"""
        val request = request(entry, "/book/$key", body).header("Idempotency-Key", key)
            .header("X-Test-Delay-Ms", delayMs.toString()).build()
        val (outcome, detail) =
            try {
                val response = Http.client.send(request, HttpResponse.BodyHandlers.ofString())
                outcomeOf(response, "/$key", body)
            } catch (e: IOException) {
                failureOutcome(e)
            }
        return CallAttempt(entry, stream = false, startNanos, System.nanoTime(), outcome, detail, idempotencyKey = key)
    }

    private fun outcomeOf(response: HttpResponse<String>, path: String, sent: String): Pair<CallOutcome, String> {
        if (response.statusCode() != OK) return refusalOutcome(response, response.body())
        val echo = testbedJson.parseBounded(response.body()).jsonObject
        val digest = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(sent.toByteArray()))
        val matches = echo.text("path") == path && echo.text("body_sha256") == digest
        return if (matches) CallOutcome.COMPLETE to "200" else CallOutcome.WRONG to response.body()
    }

    private inner class StreamReader(
        private val entry: Int,
        private val apiKey: String,
        private val prompt: String,
        private val length: Int,
        private val tokens: AtomicInteger,
    ) {
        private val expectedTokens = TokenFunction(MODEL, "v1", null, prompt)
        private val startNanos = System.nanoTime()
        private var lastTokenNanos = startNanos
        private var firstTokenNanos = 0L
        private var longestTokenGapNanos = 0L
        private var requestId: String? = null
        private var wrongText = false
        private var finishReasonReceived = false
        private var doneMarkerReceived = false
        private var error: String? = null

        fun run(): CallAttempt {
            val body = """{"model":"recipes","prompt":"$prompt","stream":true,"max_tokens":$length}"""
            val (outcome, detail) =
                try {
                    val response =
                        Http.client.send(
                            request(entry, "/v1/completions", body, apiKey).build(),
                            HttpResponse.BodyHandlers.ofInputStream(),
                        )
                    response.body().use { readStream(response, it) }
                } catch (e: IOException) {
                    failureOutcome(e)
                }
            return CallAttempt(
                entry, stream = true, startNanos, System.nanoTime(), outcome, detail, requestId,
                firstTokenNanos = firstTokenNanos, longestTokenGapNanos = longestTokenGapNanos, wrongText = wrongText,
            )
        }

        private fun readStream(response: HttpResponse<InputStream>, body: InputStream): Pair<CallOutcome, String> {
            if (response.statusCode() != OK) return refusalOutcome(response, body.reader().readText())
            val timeoutTask = timeoutExecutor.schedule({ body.close() }, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            body.bufferedReader().forEachLine { readLine(it) }
            timeoutTask.cancel(false)
            val complete = tokens.get() == length && finishReasonReceived && !wrongText && error == null
            return when {
                doneMarkerReceived && complete -> CallOutcome.COMPLETE to "$length tokens"
                doneMarkerReceived ->
                    CallOutcome.WRONG to
                        "[DONE] after ${tokens.get()} of $length tokens, wrong text: $wrongText"
                error != null -> CallOutcome.ERROR_EVENT to "after ${tokens.get()} tokens: $error"
                else -> CallOutcome.BROKEN to "no [DONE] after ${tokens.get()} of $length tokens"
            }
        }

        private fun readLine(line: String) {
            val data = line.removePrefix("data: ")
            when {
                data.length == line.length -> return
                data == "[DONE]" -> doneMarkerReceived = true
                else -> readEvent(testbedJson.parseBounded(data).jsonObject)
            }
        }

        private fun readEvent(event: JsonObject) {
            if ("error" in event) {
                error = event.toString()
                return
            }
            requestId = event.text("id").removePrefix("cmpl-")
            val choice = event.getValue("choices").jsonArray.first().jsonObject
            if (choice.text("finish_reason").isNotEmpty()) finishReasonReceived = true
            if (choice.text("text").isNotEmpty()) recordToken(choice.text("text"))
        }

        private fun recordToken(text: String) {
            val now = System.nanoTime()
            if (firstTokenNanos == 0L) firstTokenNanos = now
            longestTokenGapNanos = maxOf(longestTokenGapNanos, now - lastTokenNanos)
            lastTokenNanos = now
            if (text != expectedTokens.token(tokens.get())) wrongText = true
            tokens.incrementAndGet()
        }
    }

    private companion object {
        const val OK = 200

        /** Exceeds the time that any fault case needs for one response. */
        const val CALL_TIMEOUT_MS = 20_000L
    }
}

private fun JsonObject.text(name: String): String = (this[name] as? JsonPrimitive)?.contentOrNull.orEmpty()

private fun failureOutcome(failure: IOException): Pair<CallOutcome, String> = when (failure) {
    is ConnectException, is HttpConnectTimeoutException -> CallOutcome.NOT_SENT to "no connection"
    else -> CallOutcome.BROKEN to failure.toString()
}

private fun refusalOutcome(response: HttpResponse<*>, body: String): Pair<CallOutcome, String> {
    val outcome =
        when (response.headers().firstValue("Bramleyspur-Outcome").orElse("")) {
            "not_run" -> CallOutcome.NOT_RUN
            "may_have_run" -> CallOutcome.MAY_HAVE_RUN
            "ran_and_failed" -> CallOutcome.RAN_AND_FAILED
            else -> CallOutcome.WRONG
        }
    val error = runCatching { testbedJson.parseBounded(body).jsonObject["error"]?.jsonObject }.getOrNull()
    val message = error?.get("message")?.jsonPrimitive?.contentOrNull ?: body
    return outcome to "${response.statusCode()} $message"
}
