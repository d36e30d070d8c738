package fireflyhinge.gateway.forward

import fireflyhinge.forward.Replica
import fireflyhinge.forward.StreamEvent
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.HttpResponse

/** Writes the events of a request's runs to its caller, all of one software version. */
internal class StreamOutput(
    private val context: RequestContext,
    private val response: ResponseWriter,
    private val sender: ReplicaSender,
    private val versions: StreamVersionGuard,
) {
    /** Whether the caller may have part of the response. */
    val started: Boolean get() = response.started

    /** Whether an event of [replica] may follow those that the caller has. */
    fun admits(replica: Replica): Boolean = versions.mayForward(context, replica)

    /** Forwards [event] of a response with [head]; the caller's response keeps the head sent by the first replica. */
    suspend fun forward(event: StreamEvent, head: HttpResponse) {
        if (!response.started) response.start(head.status().code(), sender.toCaller(head.headers()))
        response.write(event.bytes)
        context.recordForwardedEvent()
    }

    /** Completes the response. */
    suspend fun finish() = response.finish()
}
