package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.forward.EventSplitter
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.StreamEvent
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.monotonicMillis
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
 * @param failover where the request continues if the replica becomes unresponsive; null if this run is the last one.
 * A healthy replica may pause, so a pause alone ends no run.
 */
internal class DecodeSession(
    private val sender: ReplicaSender,
    private val context: RequestContext,
    private val order: EventSequence,
    private val response: ResponseWriter,
    private val failover: FailoverTarget?,
    private val crashes: CrashDetector,
) {
    private val progress = RunProgress { crashes.recordSound(context, it) }
    private var lastEventMillis = monotonicMillis()
    private var waiting = true
    private var failedOver = false

    /** Sends the request to [state]'s replica and forwards the events. */
    suspend fun run(state: ReplicaState, call: ReplicaRequestOptions): DecodeOutcome =
        try {
            sender.use(state, context.request, context.metadata.expectedKvTokens) { connection ->
                withLivenessWatch(connection) {
                    val head = sender.begin(state, connection, context.request, call)
                    read(state, connection, head)
                }
            }
        } catch (e: ConnectFailedException) {
            DecodeOutcome.NotSent(e.message.orEmpty())
        } catch (e: IOException) {
            if (!failedOver) crashes.record(state, BrokenRun(context, progress.settled))
            DecodeOutcome.Interrupted(e.message.orEmpty())
        }

    private suspend fun <T> withLivenessWatch(connection: OutboundConnection, block: suspend () -> T): T {
        if (failover == null) return block()
        return coroutineScope {
            val watch = launch { watch(connection, failover) }
            try {
                block()
            } finally {
                watch.cancel()
                if (!failedOver) failover.discard()
            }
        }
    }

    private suspend fun watch(connection: OutboundConnection, failover: FailoverTarget) {
        while (!failedOver) {
            delay(LIVENESS_CHECK_MILLIS)
            if (!unresponsive()) continue
            val ready = runLogged(log, "preparing another replica") { failover.prepare() } ?: false
            // Meanwhile the replica may have resumed, and may have sent events after which no other run can continue.
            failedOver = ready && unresponsive() && order.allNumbered
            if (ready && !failedOver) failover.discard()
            if (!ready) delay(PREPARE_RETRY_MILLIS)
        }
        connection.close()
    }

    private fun unresponsive() =
        waiting && monotonicMillis() - lastEventMillis >= ReplicaTimeouts.HEALTHY_PAUSE_MILLIS

    private suspend fun read(
        state: ReplicaState,
        connection: OutboundConnection,
        head: HttpResponse,
    ): ReadResult<DecodeOutcome> {
        if (head.status().code() == OK) return stream(connection, head)
        val complete = sender.read(connection, head)
        complete.metadata.load?.let(state::recordLoad)
        if (complete.metadata.notRun) return ReadResult.Complete(DecodeOutcome.NotRun(complete.metadata.otherReplica))
        val forwarded = ForwardResult.Response(complete.status, complete.headers, complete.body)
        return ReadResult.Complete(DecodeOutcome.OtherResponse(forwarded))
    }

    private suspend fun stream(connection: OutboundConnection, head: HttpResponse): ReadResult<DecodeOutcome> {
        val events = EventSplitter()
        order.startRun()
        while (true) {
            waiting = true
            val bytes = connection.readChunk() ?: return end(events)
            waiting = false
            val complete = events.add(bytes)
            complete.forEach { event ->
                if (order.hasGapBefore(event)) return interrupted("an event is missing")
                if (order.lacksNumber(event)) return interrupted("an event without an id")
                if (order.accept(event) && !(event.comment && order.awaitingFirstEvent)) forward(event, head)
            }
            // Other bytes are no progress for the caller: a stalled replica may send some now and then.
            if (complete.any { !it.comment }) {
                lastEventMillis = monotonicMillis()
                progress.recordOutput()
            }
            if (events.oversized) return interrupted("an event without end")
        }
    }

    private suspend fun forward(event: StreamEvent, head: HttpResponse) {
        // The caller's response keeps the head sent by the first replica.
        if (!response.started) response.start(OK, sender.toCaller(head.headers()))
        response.write(event.bytes)
        context.recordForwardedEvent()
    }

    private suspend fun end(events: EventSplitter): ReadResult<DecodeOutcome> {
        if (events.partial) return interrupted("ended inside an event")
        // A resumed run that sends no event of its own does not prove that the stream was already complete.
        if (!response.started || order.awaitingFirstEvent) return interrupted("ended without an event")
        response.finish()
        progress.recordEnd()
        return ReadResult.Complete(DecodeOutcome.Completed)
    }

    private fun interrupted(reason: String) = ReadResult.Incomplete(DecodeOutcome.Interrupted(reason))

    private companion object {
        val log = LoggerFactory.getLogger(DecodeSession::class.java)
        const val OK = 200

        /** Interval at which an unresponsive replica is detected; short compared with the limit. */
        const val LIVENESS_CHECK_MILLIS = 100L

        /** Pause between two attempts to prepare a failover: slots become free several times a second. */
        const val PREPARE_RETRY_MILLIS = 200L
    }
}
