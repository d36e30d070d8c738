package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CapacityQueue
import fireflyhinge.forward.QueueEntryResult
import fireflyhinge.forward.QueuedRequest
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.gateway.runLogged
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** A queue that this VM owns, and the calls that wait for its offers. All calls must come from one thread. */
internal class OwnedQueue(
    private val name: QueueName,
    private val scope: CoroutineScope,
    private val capacity: QueueCapacity,
) {
    private val queue = CapacityQueue { Random.nextDouble() }
    private val calls = HashMap<String, CompletableDeferred<QueueReply>>()
    private var ticker: Job? = null
    private var openedMillis = 0L
    private var offers = 0

    /** Requests that wait without an offer. */
    val size: Int get() = queue.size

    /** Whether no request has waited for a while. */
    val idle: Boolean get() = queue.empty && !queue.contended(monotonicMillis())

    /** Adds the request of [call] and awaits an offer for it. If the VM closes the connection, it is removed. */
    suspend fun await(call: QueueCall): QueueReply {
        val now = monotonicMillis()
        call.refusedOffer?.let { queue.refused(it, now) }
        val place =
            when (val result = queue.add(request(call, now), now)) {
                is QueueEntryResult.Waiting -> result.place
                is QueueEntryResult.Offered -> return QueueReply.Offer(result.offer.number, result.offer.replica)
                is QueueEntryResult.Refused -> return QueueReply.Refused(result.retryAfterMillis)
                QueueEntryResult.Ended -> return QueueReply.Ended
            }
        val own = CompletableDeferred<QueueReply>()
        // A second call for the same request replaces the first one, whose VM has given it up.
        calls.put(call.id, own)?.complete(QueueReply.Waiting(place))
        advance()
        var returned = false
        try {
            val reply = withTimeoutOrNull(call.holdMillis) { own.await() } ?: QueueReply.Waiting(place)
            returned = true
            return reply
        } finally {
            calls.remove(call.id, own)
            if (!returned && call.id !in calls) withdraw(call.id)
        }
    }

    private fun withdraw(id: String) {
        queue.withdraw(id, monotonicMillis())
        advance()
    }

    private fun request(call: QueueCall, now: Long) =
        QueuedRequest(
            id = call.id,
            workspace = call.workspace,
            weight = call.weight,
            cost = capacity.cost(name, call.tokens),
            arrivedMillis = now - call.waitedMillis,
            targetMillis = now + call.targetMillis,
            expiresMillis = now + call.expiresMillis,
            avoid = call.avoid,
        )

    /** Records that request [id] ended its wait; [taken] if it got capacity. */
    fun ended(id: String, taken: Boolean) {
        queue.ended(id, taken, monotonicMillis())
        advance()
    }

    /** Records that capacity became free at [replicas]. */
    fun freed(replicas: List<String>) {
        val known = capacity.replicas(name).toSet()
        replicas.filter { it in known }.forEach(queue::freed)
        advance()
    }

    private fun advance() {
        if (queue.empty) return
        if (ticker?.isActive != true) open()
        val step = queue.advance(monotonicMillis(), capacity.replicas(name))
        offers += step.offers.size
        step.offers.forEach { calls.remove(it.request.id)?.complete(QueueReply.Offer(it.number, it.replica)) }
        step.expired.forEach { calls.remove(it.id)?.complete(QueueReply.Refused(expiredRetryAfter())) }
    }

    private fun open() {
        openedMillis = monotonicMillis()
        offers = 0
        log.atInfo().addKeyValue("queue", name.toString()).log("requests wait for capacity")
        ticker = scope.launch { tick() }
    }

    /** Offers replicas again after refusals, and ends what expires, while the queue is in use. */
    private suspend fun tick() {
        while (!idle) {
            delay(TICK_MILLIS)
            runLogged(log, "offering capacity") { advance() }
        }
        log.atInfo().addKeyValue("queue", name.toString()).addKeyValue("offers", offers)
            .addKeyValue("millis", monotonicMillis() - openedMillis).log("no request waits for capacity")
    }

    /** The retry delay is random, to spread the callers' retries. */
    private fun expiredRetryAfter() = Random.nextLong(MIN_RETRY_AFTER_MILLIS, 2 * MIN_RETRY_AFTER_MILLIS)

    private companion object {
        val log = LoggerFactory.getLogger(OwnedQueue::class.java)

        /** A tenth of the time after which a replica that refused is offered again. */
        const val TICK_MILLIS = 30L

        /** Until most of the responses that run when the request expires have ended. */
        const val MIN_RETRY_AFTER_MILLIS = 2_250L
    }
}
