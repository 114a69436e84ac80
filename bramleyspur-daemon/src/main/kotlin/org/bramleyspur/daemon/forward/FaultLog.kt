package org.bramleyspur.daemon.forward

/** Logs and counts what is thrown while a caller's request is handled. */
internal class FaultLog(private val context: ForwardContext) {
    /** Records that [cause] was thrown while [request] had come as far as [progress]. */
    fun onFault(request: String?, progress: String, cause: Throwable) {
        context.metrics.onFault(progress)
        write("request-fault", request, progress, cause)
    }

    /** Records a connection that was closed although [request] had no complete response. */
    fun onUnanswered(request: String?, progress: String, cause: Throwable) {
        context.metrics.onUnanswered(progress)
        write("closed-unanswered", request, progress, cause)
    }

    private fun write(event: String, request: String?, progress: String, cause: Throwable) = context.log.write(
        event,
        "request" to request,
        "progress" to progress,
        "error" to cause.toString(),
        "at" to cause.stackTrace.take(STACK_FRAMES).joinToString(" < "),
        "config" to context.routes?.version,
    )

    private companion object {
        const val STACK_FRAMES = 5
    }
}
