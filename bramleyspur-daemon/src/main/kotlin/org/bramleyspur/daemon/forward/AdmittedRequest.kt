package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.core.document.RouteKind
import org.bramleyspur.traffic.homes.homesOf
import org.bramleyspur.traffic.quarantine.sharedParts

/** A caller's request with the route and service that the configuration gives it. */
internal class AdmittedRequest(
    private val context: ForwardContext,
    val caller: CallerRequest,
    val route: DocumentRoute,
    val service: DocumentService,
    val account: DocumentAccount?,
) {
    private val headerNames = context.headers
    val id = caller.headers.get(headerNames.attemptId).orEmpty()
    val model: String? = caller.headers.get(headerNames.model)
    val tokens = tokenCountsOf(caller.headers.get(headerNames.tokenCounts))
    val streaming = route.kind == RouteKind.STREAMING
    val parts = if (streaming) sharedParts(caller.headers.get(headerNames.promptParts)) else emptyList()
    val lastEventId: Long? = caller.headers.get(headerNames.lastEventId)?.trim()?.toLongOrNull()
    val homes = homesOf(route, account)
    val configAtStart = context.routes?.version
    private val deadlineMs = deadlineMs()

    private fun deadlineMs(): Long {
        val callerMs = caller.headers.get(headerNames.remainingMs)?.trim()?.toLongOrNull()
        return caller.receivedAtMs + minOf(callerMs ?: route.timeoutMs, route.timeoutMs)
    }

    /** Time until the caller's deadline or the route's timeout. */
    fun remainingMs(): Long = deadlineMs - context.timers.nowMs()

    /** Time since the request was received. */
    fun elapsedMs(): Long = context.timers.nowMs() - caller.receivedAtMs

    /** Head of an attempt on the backend server [target], which resumes a stream after [lastEventId] if it has one. */
    fun head(target: String, lastEventId: Long?): DefaultHttpRequest {
        val message = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(caller.method), caller.uri)
        val headers = message.headers()
        copyEndToEnd(caller.headers, headers)
        headers.remove(HttpHeaderNames.AUTHORIZATION)
        headers.remove(headerNames.account)
        headers.remove(HttpHeaderNames.EXPECT)
        headers.set(headerNames.remainingMs, maxOf(1, remainingMs() - TRANSFER_ALLOWANCE_MS))
        headers.set(headerNames.target, target)
        account?.let { headers.set(headerNames.account, it.name) }
        if (streaming) headers.set(headerNames.urgency, context.urgency(route, account?.priority))
        if (streaming) lastEventId?.let { headers.set(headerNames.lastEventId, it) }
        if (caller.body.isNotEmpty() || caller.method != "GET") {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, caller.body.size)
        }
        return message
    }

    private companion object {
        /** Subtracted from the remaining time for the transfer to the backend server. */
        const val TRANSFER_ALLOWANCE_MS = 2L
    }
}
