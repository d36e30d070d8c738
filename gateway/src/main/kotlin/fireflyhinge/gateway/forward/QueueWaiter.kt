package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.fleet.QueueCall
import fireflyhinge.gateway.fleet.QueueClient
import fireflyhinge.gateway.fleet.QueueName
import fireflyhinge.gateway.fleet.QueueReply
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Waits in the queue of the fleet for requests of this VM, and turns offers into reservations. All calls must come from
 * one thread.
 *
 * @param idPrefix makes the ids of this process's waits unique in the fleet.
 * @param reserve asks a replica for a slot with memory for a number of tokens.
 */
internal class QueueWaiter(
    private val idPrefix: String,
    private val routing: ReplicaRouting,
    private val client: QueueClient,
    private val metrics: QueueMetrics,
    private val reserve: suspend (ReplicaState, Int) -> Reservation,
) {
    private var waits = 0L

    private inner class Wait(
        val context: RequestContext,
        val queue: QueueName,
        val owner: VmRecord,
        val targetMillis: Long,
        excluded: Set<String>,
    ) {
        val id = "$idPrefix/${waits++}"
        val since = monotonicMillis()
        val avoid = HashSet(excluded)
        var place: Int? = null
        private var refusedOffer: Long? = null

        suspend fun run(): QueueOutcome {
            while (true) {
                val calledAt = monotonicMillis()
                if (calledAt >= expiresMillis(context)) return QueueOutcome.Refused(retryAfterMillis = null)
                val reply = client.call(owner, call(calledAt)) ?: return QueueOutcome.Unavailable
                refusedOffer = null
                val outcome =
                    when (reply) {
                        is QueueReply.Offer -> take(reply)?.let { QueueOutcome.Taken(it) }
                        is QueueReply.Refused -> QueueOutcome.Refused(reply.retryAfterMillis)
                        QueueReply.Ended -> QueueOutcome.Unavailable
                        is QueueReply.Waiting -> waitOn(reply, calledAt)
                    }
                if (outcome != null) return outcome
            }
        }

        private suspend fun waitOn(reply: QueueReply.Waiting, calledAt: Long): QueueOutcome? {
            place = place ?: reply.place
            delay(calledAt + MIN_CALL_MILLIS - monotonicMillis())
            return null
        }

        private fun call(now: Long) =
            QueueCall(
                queue = queue,
                id = id,
                workspace = context.admission.workspace?.name.orEmpty(),
                weight = weight(context.admission.workspace),
                tokens = context.metadata.expectedKvTokens,
                waitedMillis = now - context.request.arrivedMillis,
                targetMillis = targetMillis - now,
                expiresMillis = expiresMillis(context) - now,
                holdMillis = if (now < targetMillis) HOLD_MILLIS else LATE_HOLD_MILLIS,
                avoid = avoid,
                refusedOffer = refusedOffer,
            )

        private suspend fun take(offer: QueueReply.Offer): DecodeTarget? {
            val state =
                routing.table.usable(queue.service, ReplicaStage.DECODE).find { it.replica.id == offer.replica }
            val prefillable = state != null && routing.selector.mayPrefillFor(queue.service, state)
            val answer = if (state != null && prefillable) reserve(state, context.metadata.expectedKvTokens) else null
            val target =
                when (answer) {
                    is Reservation.Granted -> DecodeTarget(state!!, answer.id)
                    Reservation.Unsupported -> DecodeTarget(state!!, reservation = null)
                    else -> null
                }
            if (answer is Reservation.NoResponse) {
                context.attemptLog += "reserve ${offer.replica} ${answer.reason}"
                state?.recordNoResponse()
            }
            if (answer is Reservation.NoResponse || state == null) avoid += offer.replica
            if (answer == Reservation.Full) state?.full = true
            metrics.offered(taken = target != null)
            if (target == null) refusedOffer = offer.number
            return target
        }
    }

    /** Whether a request for [service] should wait its turn, since others have waited recently. */
    fun contended(service: String): Boolean = client.enabled && client.contended(service)

    /** Whether requests may wait in queues. */
    val enabled: Boolean get() = client.enabled

    /** Reports that a request of this VM ended at [state]'s replica. */
    fun released(state: ReplicaState) = client.released(state)

    /**
     * Waits for capacity at a replica that is not in [excluded]. From [targetMillis] on, a monotonic time, the request
     * is late, and waits on for what others leave.
     */
    suspend fun await(context: RequestContext, excluded: Set<String>, targetMillis: Long): QueueOutcome {
        val queue = client.queue(context.service) ?: return QueueOutcome.Unavailable
        repeat(MAX_OWNERS) {
            // An owner that did not answer is passed over, so all VMs go on to the same next one.
            val owner = client.owner(queue) ?: return QueueOutcome.Unavailable
            val outcome = await(Wait(context, queue, owner, targetMillis, excluded))
            if (outcome != QueueOutcome.Unavailable) return outcome
        }
        return QueueOutcome.Unavailable
    }

    private suspend fun await(wait: Wait): QueueOutcome {
        var outcome: QueueOutcome? = null
        try {
            return wait.run().also { outcome = it }
        } finally {
            client.end(wait.owner, wait.queue, wait.id, taken = outcome is QueueOutcome.Taken)
            record(wait, describe(outcome, wait.targetMillis))
        }
    }

    private fun describe(outcome: QueueOutcome?, targetMillis: Long): String =
        when (outcome) {
            is QueueOutcome.Taken -> if (monotonicMillis() > targetMillis) "late" else "taken"
            is QueueOutcome.Refused -> "refused"
            QueueOutcome.Unavailable -> "unavailable"
            null -> "left"
        }

    private fun record(wait: Wait, outcome: String) {
        val millis = monotonicMillis() - wait.since
        metrics.waited(outcome, millis)
        wait.context.attemptLog += "queue ${wait.owner.name} $outcome $millis ms"
        log.atInfo().addKeyValue("request", wait.context.metadata.requestId)
            .addKeyValue("queue", wait.queue.toString()).addKeyValue("vm", wait.owner.name)
            .addKeyValue("place", wait.place).addKeyValue("millis", millis).addKeyValue("outcome", outcome)
            .log("request waited for capacity")
    }

    companion object {
        private val log = LoggerFactory.getLogger(QueueWaiter::class.java)

        /** The owner, and the next one if it does not answer. After that, polling costs less of the target. */
        private const val MAX_OWNERS = 2

        /** An owner that is frozen costs a request this much of its target, and a round trip. */
        private const val HOLD_MILLIS = 300L

        /** Late requests cause fewer calls. */
        private const val LATE_HOLD_MILLIS = 600L

        /** Lower bound for the interval of calls, if an owner answers at once that the request waits. */
        private const val MIN_CALL_MILLIS = 20L

        /** Callers leave a stream without a first event after the longer of 2 s and four times the target. */
        private const val MIN_CALLER_WAIT_MILLIS = 2_000L
        private const val CALLER_WAIT_TARGETS = 4

        /** Part of that time in which a late request must get its slot; the rest is for the prefill. */
        private const val LATE_SHARE = 0.75

        /** Weight without a limit or without a workspace: like a limit of 50,000 tokens per second. */
        private const val DEFAULT_WEIGHT = 50_000.0

        /** Monotonic time until which the request of [context] may wait for a slot. */
        fun expiresMillis(context: RequestContext): Long {
            val route = context.admission.route
            val wait = maxOf(MIN_CALLER_WAIT_MILLIS, CALLER_WAIT_TARGETS * route.objectiveMillis) * LATE_SHARE
            val arrived = context.request.arrivedMillis
            // The response itself needs time as well.
            return arrived + minOf(wait.toLong(), (context.deadlineMillis - arrived) / 2)
        }

        private fun weight(workspace: ForwardWorkspace?): Double {
            val rate = workspace?.limit?.ratePerSecond ?: 0.0
            if (workspace == null || rate <= 0) return DEFAULT_WEIGHT
            return if (workspace.chargesTokens) rate else rate * maxOf(1, workspace.defaultCost)
        }
    }
}
