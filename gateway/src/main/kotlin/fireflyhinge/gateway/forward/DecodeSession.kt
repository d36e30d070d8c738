package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventOrder
import fireflyhinge.forward.EventSplitter
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.AnswerWriter
import fireflyhinge.gateway.http.ConnectFailed
import fireflyhinge.gateway.http.OutboundConnection
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/**
 * One run of a model request at a decode replica. Used by one coroutine, once.
 *
 * @param patient whether the run is the last one, so that silence does not end it before the request's own end.
 */
internal class DecodeSession(
    private val sender: ReplicaSender,
    private val attempt: Attempt,
    private val order: EventOrder,
    private val answer: AnswerWriter,
    private val patient: Boolean,
) {
    /** Sends the request to [state]'s replica and hands the events on. */
    suspend fun run(state: ReplicaState, call: ReplicaCall): DecodeOutcome =
        try {
            sender.use(state, attempt.facts.expectedMemory) { connection ->
                // Silence before the first event may be a queue; afterwards the pauses of a sound run are short.
                val wait = if (patient) attempt.remaining else FIRST_EVENT_MILLIS
                val head = withTimeoutOrNull(wait) { sender.begin(connection, attempt.request, call) }
                head?.let { read(state, connection, it) } ?: Reading.Partial(DecodeOutcome.Lost("silent for $wait ms"))
            }
        } catch (e: ConnectFailed) {
            DecodeOutcome.NotSent(e.message.orEmpty())
        } catch (e: IOException) {
            DecodeOutcome.Lost(e.message.orEmpty())
        }

    private suspend fun read(
        state: ReplicaState,
        connection: OutboundConnection,
        head: HttpResponse,
    ): Reading<DecodeOutcome> {
        if (head.status().code() == OK) return stream(connection, head)
        val whole = sender.read(connection, head)
        whole.facts.load?.let(state::reported)
        if (whole.facts.notRun) return Reading.Whole(DecodeOutcome.NotRun(whole.facts.otherReplica))
        return Reading.Whole(DecodeOutcome.Other(ForwardResult.Answer(whole.status, whole.headers, whole.body)))
    }

    private suspend fun stream(connection: OutboundConnection, head: HttpResponse): Reading<DecodeOutcome> {
        val events = EventSplitter()
        while (true) {
            val next = withTimeoutOrNull(if (patient) attempt.remaining else PAUSE_MILLIS) { Piece(connection.body()) }
            val bytes = next?.let { it.bytes ?: return end(events) }
            bytes ?: return Reading.Partial(DecodeOutcome.Lost("silent after event ${order.last}"))
            events.add(bytes).filter(order::accept).forEach { event ->
                // The answer keeps the head of the first replica.
                if (!answer.started) answer.begin(OK, sender.toCaller(head.headers()))
                answer.send(event.bytes)
                attempt.handedOn()
            }
        }
    }

    private suspend fun end(events: EventSplitter): Reading<DecodeOutcome> {
        if (events.partial || !answer.started) return Reading.Partial(DecodeOutcome.Lost("ended inside an event"))
        answer.end()
        return Reading.Whole(DecodeOutcome.Whole)
    }

    private class Piece(val bytes: ByteArray?)

    private companion object {
        const val OK = 200

        /** Two thirds of the objective for the first event, so that another replica can still meet it. */
        const val FIRST_EVENT_MILLIS = 600L

        /** Three times the longest pause for which a stream is on time; callers leave after two seconds. */
        const val PAUSE_MILLIS = 900L
    }
}
