/*
 * Checks a request that has been read against the configuration document in force.
 */
package org.bramleyspur.daemon.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import org.bramleyspur.core.document.DocumentAccount
import org.bramleyspur.core.document.DocumentRoute
import org.bramleyspur.core.document.DocumentService
import org.bramleyspur.traffic.forward.RouteTable
import org.bramleyspur.traffic.forward.targetService

/** Whether a request may be forwarded. */
internal sealed interface Admission {
    data class Admitted(val route: DocumentRoute, val service: DocumentService, val account: DocumentAccount?) :
        Admission

    class Rejected(val status: HttpResponseStatus, val text: String) : Admission
}

/** Checks [request] against [routes]; [fraction] chooses among the services of its route. */
internal fun admit(routes: RouteTable?, request: CallerRequest, fraction: () -> Double): Admission {
    routes ?: return Admission.Rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known yet")
    val host = request.headers.get(HttpHeaderNames.HOST)
        ?: return Admission.Rejected(HttpResponseStatus.BAD_REQUEST, "the request names no host")
    val route = routes.route(host, request.path)
        ?: return Admission.Rejected(HttpResponseStatus.NOT_FOUND, "no route matches host and path")
    val account = bearerKey(request.headers)?.let { routes.account(it) }
    return if (routes.keysRequired && !route.isPublic && account == null) {
        Admission.Rejected(HttpResponseStatus.UNAUTHORIZED, "the key is unknown")
    } else {
        val service = routes.document.services.getValue(targetService(route, fraction()))
        Admission.Admitted(route, service, account.takeIf { !route.isPublic })
    }
}

private fun bearerKey(headers: HttpHeaders): String? {
    val value = headers.get(HttpHeaderNames.AUTHORIZATION)?.trim() ?: return null
    val scheme = value.substringBefore(' ', "")
    return if (scheme.equals("Bearer", ignoreCase = true)) value.substringAfter(' ').trim() else null
}
