package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.forward.EventSplitter
import fireflyhinge.forward.Replica
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.StreamEvent
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.OutboundConnection
import io.netty.handler.codec.http.HttpResponse
import java.io.IOException

/**
 * One run of a model request at a decode replica. Used by one coroutine, once.
 *
 * @param watch fails the run over to another replica if this one becomes unresponsive.
 */
internal class DecodeSession(
    private val sender: ReplicaSender,
    private val context: RequestContext,
    private val order: EventSequence,
    private val output: StreamOutput,
    private val watch: LivenessWatch,
    private val crashes: CrashDetector,
) {
    private lateinit var replica: Replica
    private val progress = RunProgress { crashes.recordSound(context, it) }
    private var opened: ReplicaExchange? = null
    private var openedHead: HttpResponse? = null

    /** Sends the request to [state]'s replica, unless [open] has done so, and forwards the events. */
    suspend fun run(state: ReplicaState, call: ReplicaRequestOptions): DecodeOutcome {
        val outcome =
            exchange(state) { exchange ->
                exchange.use { connection ->
                    watch.during(connection) {
                        val head = openedHead ?: sender.begin(state, connection, context.request, call, claimed = true)
                        read(connection, head)
                    }
                }
            }
        return checkNotNull(outcome)
    }

    /**
     * Sends the request to [state]'s replica and awaits the head of the response. Returns null if it begins a stream,
     * which [run] then forwards, and otherwise the outcome of this run.
     */
    suspend fun open(state: ReplicaState, call: ReplicaRequestOptions): DecodeOutcome? =
        exchange(state) { exchange ->
            try {
                val head = sender.begin(state, exchange.connection, context.request, call, claimed = true)
                if (head.status().code() == OK) {
                    opened = exchange
                    openedHead = head
                    null
                } else {
                    exchange.use { read(it, head) }
                }
            } finally {
                if (opened == null) exchange.close()
            }
        }

    /** Ends the run that [open] began. */
    fun close() {
        opened?.close()
    }

    private suspend fun exchange(
        state: ReplicaState,
        block: suspend (ReplicaExchange) -> DecodeOutcome?,
    ): DecodeOutcome? =
        try {
            if (opened == null) replica = state.replica
            block(opened ?: sender.connect(state, context.request, context.metadata.expectedKvTokens))
        } catch (e: ConnectFailedException) {
            DecodeOutcome.NotSent(e.message.orEmpty())
        } catch (e: ColdBudgetException) {
            DecodeOutcome.NotSent(e.message.orEmpty(), noBudget = true)
        } catch (e: IOException) {
            if (!watch.failedOver) crashes.record(state, BrokenRun(context, progress.settled))
            DecodeOutcome.Interrupted(e.message.orEmpty())
        }

    private suspend fun read(connection: OutboundConnection, head: HttpResponse): ReadResult<DecodeOutcome> {
        if (head.status().code() == OK) return stream(connection, head)
        val complete = sender.read(connection, head)
        if (complete.metadata.notRun) return ReadResult.Complete(DecodeOutcome.NotRun(complete.metadata.otherReplica))
        val forwarded = ForwardResult.Response(complete.status, complete.headers, complete.body)
        return ReadResult.Complete(DecodeOutcome.OtherResponse(forwarded))
    }

    private suspend fun stream(connection: OutboundConnection, head: HttpResponse): ReadResult<DecodeOutcome> {
        val events = EventSplitter()
        order.startRun()
        while (true) {
            watch.setWaiting(true)
            val bytes = connection.readChunk() ?: return end(events)
            watch.setWaiting(false)
            val complete = events.add(bytes)
            complete.forEach { event ->
                flaw(event)?.let { return interrupted(it) }
                if (order.accept(event) && !(event.comment && order.awaitingFirstEvent)) output.forward(event, head)
            }
            // Other bytes are no progress for the caller: a stalled replica may send some now and then.
            if (complete.any { !it.comment }) {
                watch.recordEvent()
                progress.recordOutput()
            }
            if (events.oversized) return interrupted("an event without end")
        }
    }

    /** Why [event] may not follow those that the caller has, or null. */
    private fun flaw(event: StreamEvent): String? =
        when {
            order.hasGapBefore(event) -> "an event is missing"
            order.lacksNumber(event) -> "an event without an id"
            !output.admits(replica) -> "another version began the stream"
            else -> null
        }

    private suspend fun end(events: EventSplitter): ReadResult<DecodeOutcome> {
        if (events.partial) return interrupted("ended inside an event")
        // A resumed run that sends no event of its own does not prove that the stream was already complete.
        if (!output.started || order.awaitingFirstEvent) return interrupted("ended without an event")
        output.finish()
        progress.recordEnd()
        return ReadResult.Complete(DecodeOutcome.Completed)
    }

    private fun interrupted(reason: String) = ReadResult.Incomplete(DecodeOutcome.Interrupted(reason))

    private companion object {
        const val OK = 200
    }
}
