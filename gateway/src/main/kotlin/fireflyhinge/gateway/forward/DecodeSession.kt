package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.forward.EventSplitter
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.StreamEvent
import fireflyhinge.gateway.http.AnswerWriter
import fireflyhinge.gateway.http.ConnectFailed
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.nowMillis
import fireflyhinge.gateway.runLogged
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * One run of a model request at a decode replica. Used by one coroutine, once.
 *
 * @param failover where the request goes on if the replica stays silent. Null if this run is the last one. A sound
 * replica may pause, so silence alone ends no run.
 */
internal class DecodeSession(
    private val sender: ReplicaSender,
    private val context: RequestContext,
    private val order: EventSequence,
    private val answer: AnswerWriter,
    private val failover: FailoverTarget?,
) {
    private var heardAt = nowMillis()
    private var waiting = true
    private var movedOn = false

    /** Sends the request to [state]'s replica and hands the events on. */
    suspend fun run(state: ReplicaState, call: ReplicaRequestOptions): DecodeOutcome =
        try {
            sender.use(state, context.request, context.metadata.expectedKvTokens) { connection ->
                watched(connection) {
                    val head = sender.begin(connection, context.request, call)
                    read(state, connection, head)
                }
            }
        } catch (e: ConnectFailed) {
            DecodeOutcome.NotSent(e.message.orEmpty())
        } catch (e: IOException) {
            DecodeOutcome.Interrupted(e.message.orEmpty())
        }

    private suspend fun <T> watched(connection: OutboundConnection, block: suspend () -> T): T {
        if (failover == null) return block()
        return coroutineScope {
            val watch = launch { watch(connection, failover) }
            try {
                block()
            } finally {
                watch.cancel()
                if (!movedOn) failover.discard()
            }
        }
    }

    private suspend fun watch(connection: OutboundConnection, failover: FailoverTarget) {
        while (!movedOn) {
            delay(WATCH_MILLIS)
            if (!silent()) continue
            val ready = runLogged(log, "preparing another replica") { failover.prepare() } ?: false
            // The replica may have gone on meanwhile, with events after which no other run can.
            movedOn = ready && silent() && order.allNumbered
            if (ready && !movedOn) failover.discard()
            if (!ready) delay(PREPARE_PAUSE_MILLIS)
        }
        connection.close()
    }

    private fun silent() = waiting && nowMillis() - heardAt >= ReplicaTimeouts.HEALTHY_PAUSE_MILLIS

    private suspend fun read(
        state: ReplicaState,
        connection: OutboundConnection,
        head: HttpResponse,
    ): ReadResult<DecodeOutcome> {
        if (head.status().code() == OK) return stream(connection, head)
        val whole = sender.read(connection, head)
        whole.metadata.load?.let(state::recordLoad)
        if (whole.metadata.notRun) return ReadResult.Complete(DecodeOutcome.NotRun(whole.metadata.otherReplica))
        val forwarded = ForwardResult.Response(whole.status, whole.headers, whole.body)
        return ReadResult.Complete(DecodeOutcome.OtherResponse(forwarded))
    }

    private suspend fun stream(connection: OutboundConnection, head: HttpResponse): ReadResult<DecodeOutcome> {
        val events = EventSplitter()
        order.startRun()
        while (true) {
            waiting = true
            val bytes = connection.body() ?: return end(events)
            heardAt = nowMillis()
            waiting = false
            events.add(bytes).forEach { event ->
                if (order.hasGapBefore(event)) return lost("an event is missing")
                if (order.lacksNumber(event)) return lost("an event without an id")
                if (order.accept(event) && !(event.comment && order.awaitingFirstEvent)) handOn(event, head)
            }
            if (events.oversized) return lost("an event without end")
        }
    }

    private suspend fun handOn(event: StreamEvent, head: HttpResponse) {
        // The answer keeps the head of the first replica.
        if (!answer.started) answer.begin(OK, sender.toCaller(head.headers()))
        answer.send(event.bytes)
        context.handedOn()
    }

    private suspend fun end(events: EventSplitter): ReadResult<DecodeOutcome> {
        if (events.partial) return lost("ended inside an event")
        // Without an event of its own, a run that goes on does not show that the stream was complete before it.
        if (!answer.started || order.awaitingFirstEvent) return lost("ended without an event")
        answer.end()
        return ReadResult.Complete(DecodeOutcome.Completed)
    }

    private fun lost(reason: String) = ReadResult.Incomplete(DecodeOutcome.Interrupted(reason))

    private companion object {
        val log = LoggerFactory.getLogger(DecodeSession::class.java)
        const val OK = 200

        /** How often silence is looked for; short against the limit. */
        const val WATCH_MILLIS = 100L

        /** Time between two tries to prepare another replica: places become free some times a second. */
        const val PREPARE_PAUSE_MILLIS = 200L
    }
}
