/*
 * Callers of the deployment: streams whose text is compared token by token, and plain calls under a key whose answer
 * is compared by digest.
 */
package org.bramleyspur.testbed.matrix

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
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

/** A stream that is under way; [tokens] counts what has arrived. */
internal class RunningStream(val tokens: AtomicInteger, val answer: Future<Answer>)

/** Sends calls to the entries of [ports] and keeps what they saw in [log]. */
internal class Callers(private val ports: Ports, private val log: AnswerLog) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val watchdog = Executors.newScheduledThreadPool(1) { task -> Thread(task).apply { isDaemon = true } }
    private val number = AtomicInteger()

    /** Starts a stream of [length] tokens with a prompt of its own, for the account of [apiKey]. */
    fun stream(entry: Int, length: Int, apiKey: String = API_KEY): RunningStream {
        val tokens = AtomicInteger()
        val prompt = "prompt ${number.incrementAndGet()}"
        val answer = threads.submit<Answer> { StreamReader(entry, apiKey, prompt, length, tokens).run().also(log::add) }
        return RunningStream(tokens, answer)
    }

    /** Starts one try of a plain call that runs [delayMs]. */
    fun call(entry: Int, key: String, delayMs: Long): Future<Answer> =
        threads.submit<Answer> { sendCall(entry, key, delayMs).also(log::add) }

    /** Runs [task] on a thread of the callers. */
    fun <T> run(task: () -> T): Future<T> = threads.submit<T> { task() }

    /** A key that no other call has. */
    fun newKey(): String = "key-${number.incrementAndGet()}"

    override fun close() {
        threads.shutdownNow()
        watchdog.shutdownNow()
    }

    private fun request(entry: Int, path: String, body: String, apiKey: String = API_KEY) =
        HttpRequest.newBuilder(URI("http://127.0.0.1:${ports.caller(entry)}$path"))
            .header("Authorization", "Bearer $apiKey")
            .header("Content-Type", "application/json")
            .timeout(Duration.ofMillis(LONGEST_MS))
            .POST(HttpRequest.BodyPublishers.ofString(body))

    private fun sendCall(entry: Int, key: String, delayMs: Long): Answer {
        val start = System.nanoTime()
        val body = """{"save":"$key"}"""
        val request = request(entry, "/book/$key", body).header("Idempotency-Key", key)
            .header("X-Test-Delay-Ms", delayMs.toString()).build()
        val (ending, detail) =
            try {
                val answer = Http.client.send(request, HttpResponse.BodyHandlers.ofString())
                endingOf(answer, "/$key", body)
            } catch (e: IOException) {
                failureOf(e)
            }
        return Answer(entry, stream = false, start, System.nanoTime(), ending, detail, key = key)
    }

    private fun endingOf(answer: HttpResponse<String>, path: String, sent: String): Pair<Ending, String> {
        if (answer.statusCode() != OK) return refusalOf(answer, answer.body())
        val echo = testbedJson.parseToJsonElement(answer.body()).jsonObject
        val digest = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(sent.toByteArray()))
        val right = echo.text("path") == path && echo.text("body_sha256") == digest
        return if (right) Ending.COMPLETE to "200" else Ending.WRONG to answer.body()
    }

    private inner class StreamReader(
        private val entry: Int,
        private val apiKey: String,
        private val prompt: String,
        private val length: Int,
        private val tokens: AtomicInteger,
    ) {
        private val function = TokenFunction(MODEL, "v1", null, prompt)
        private val start = System.nanoTime()
        private var last = start
        private var first = 0L
        private var gap = 0L
        private var id: String? = null
        private var wrong = false
        private var finished = false
        private var done = false
        private var error: String? = null

        fun run(): Answer {
            val body = """{"model":"recipes","prompt":"$prompt","stream":true,"max_tokens":$length}"""
            val (ending, detail) =
                try {
                    val answer =
                        Http.client.send(
                            request(entry, "/v1/completions", body, apiKey).build(),
                            HttpResponse.BodyHandlers.ofInputStream(),
                        )
                    answer.body().use { read(answer, it) }
                } catch (e: IOException) {
                    failureOf(e)
                }
            return Answer(
                entry, stream = true, start, System.nanoTime(), ending, detail, id,
                firstNanos = first, longestGapNanos = gap, wrongText = wrong,
            )
        }

        private fun read(answer: HttpResponse<InputStream>, body: InputStream): Pair<Ending, String> {
            if (answer.statusCode() != OK) return refusalOf(answer, body.reader().readText())
            val guard = watchdog.schedule({ body.close() }, LONGEST_MS, TimeUnit.MILLISECONDS)
            body.bufferedReader().forEachLine { line(it) }
            guard.cancel(false)
            val whole = tokens.get() == length && finished && !wrong && error == null
            return when {
                done && whole -> Ending.COMPLETE to "$length tokens"
                done -> Ending.WRONG to "[DONE] after ${tokens.get()} of $length tokens, wrong text: $wrong"
                error != null -> Ending.ERROR_EVENT to "after ${tokens.get()} tokens: $error"
                else -> Ending.BROKEN to "no [DONE] after ${tokens.get()} of $length tokens"
            }
        }

        private fun line(line: String) {
            val data = line.removePrefix("data: ")
            when {
                data.length == line.length -> return
                data == "[DONE]" -> done = true
                else -> event(testbedJson.parseToJsonElement(data).jsonObject)
            }
        }

        private fun event(event: JsonObject) {
            if ("error" in event) {
                error = event.toString()
                return
            }
            id = event.text("id").removePrefix("cmpl-")
            val choice = event.getValue("choices").jsonArray.first().jsonObject
            if (choice.text("finish_reason").isNotEmpty()) finished = true
            if (choice.text("text").isNotEmpty()) token(choice.text("text"))
        }

        private fun token(text: String) {
            val now = System.nanoTime()
            if (first == 0L) first = now
            gap = maxOf(gap, now - last)
            last = now
            if (text != function.token(tokens.get())) wrong = true
            tokens.incrementAndGet()
        }
    }

    private companion object {
        const val OK = 200

        /** Longer than any row needs for one answer. */
        const val LONGEST_MS = 20_000L
    }
}

private fun JsonObject.text(name: String): String = (this[name] as? JsonPrimitive)?.contentOrNull.orEmpty()

private fun failureOf(failure: IOException): Pair<Ending, String> = when (failure) {
    is ConnectException, is HttpConnectTimeoutException -> Ending.NOT_SENT to "no connection"
    else -> Ending.BROKEN to failure.toString()
}

private fun refusalOf(answer: HttpResponse<*>, body: String): Pair<Ending, String> {
    val ending =
        when (answer.headers().firstValue("Bramleyspur-Outcome").orElse("")) {
            "not_run" -> Ending.NOT_RUN
            "may_have_run" -> Ending.MAY_HAVE_RUN
            "ran_and_failed" -> Ending.RAN_AND_FAILED
            else -> Ending.WRONG
        }
    val error = runCatching { testbedJson.parseToJsonElement(body).jsonObject["error"]?.jsonObject }.getOrNull()
    val message = error?.get("message")?.jsonPrimitive?.contentOrNull ?: body
    return ending to "${answer.statusCode()} $message"
}
