package fireflyhinge.forward

/**
 * Queue of the model requests of all VMs that wait for capacity at the decode replicas of one service. Its owner adds
 * requests and calls [advance]; each offer goes to the VM of its request, which tries to reserve the capacity at the
 * replica. The replica's answer is final, so the queue may offer capacity that is not free. Messages may be lost, late
 * or duplicated: an offer without a result ends by itself, and a request that is added again keeps its place or offer.
 * Not thread-safe.
 *
 * @param probeMillis time after which a replica that refused a reservation is offered again without a report that
 * capacity became free.
 * @param random returns values in [0, 1).
 */
class CapacityQueue(probeMillis: Long = PROBE_MILLIS, random: () -> Double) {
    private val waiting = WaitingRequests()
    private val offers = ReplicaOffers(probeMillis)
    private val rate = CapacityRate(random)
    private val ended = LruMap<String, Unit>(MAX_ENDED)
    private var contendedUntil = Long.MIN_VALUE

    /** Requests that wait without an offer. */
    val size: Int get() = waiting.size

    /** Whether requests wait, have offers, or have done so recently. */
    fun contended(now: Long): Boolean = !empty || now < contendedUntil

    /** Whether there is nothing to do in [advance]. */
    val empty: Boolean get() = waiting.size == 0 && offers.open.isEmpty()

    /** Adds [request], or returns the state of the request with this id. */
    fun add(request: QueuedRequest, now: Long): QueueEntryResult {
        if (request.id in ended) return QueueEntryResult.Ended
        offers.of(request.id)?.let { return QueueEntryResult.Offered(it) }
        val place = waiting.size
        if (request.id in waiting) return QueueEntryResult.Waiting(place)
        val wait = waitMillis(request, now)
        if (waiting.size >= MAX_WAITING || now + wait > request.expiresMillis) {
            return QueueEntryResult.Refused(rate.retryAfterMillis(request.cost, wait, now))
        }
        waiting.add(request)
        return QueueEntryResult.Waiting(place)
    }

    private fun waitMillis(request: QueuedRequest, now: Long): Double {
        val rate = rate.perMilli(now) ?: return 0.0
        val wait = { one: QueuedRequest -> waiting.costBefore(one, now) / maxOf(rate, MIN_RATE_PER_MILLI) }
        val early = wait(request)
        // A request that misses its target waits with the late ones.
        val late = request.copy(targetMillis = now - 1)
        return if (now + early <= request.targetMillis) early else wait(late)
    }

    /** Offers capacity of [replicas], preferred ones first, to the next requests, and ends what expired by [now]. */
    fun advance(now: Long, replicas: List<String>): QueueStep {
        // The VM of an expired offer is slow or gone; it adds the request again if the request still waits.
        offers.open.filter { it.expiresMillis <= now }.forEach {
            waiting.refund(it.request)
            offers.end(it, refused = false, now)
        }
        val expired = waiting.expire(now)
        offers.retain(replicas)
        val made =
            offers.offerable(replicas, now).mapNotNull { replica ->
                waiting.next(now, replica)?.let { request ->
                    waiting.remove(request.id)
                    waiting.charge(request)
                    offers.offer(request, replica, now)
                }
            }
        if (!empty) contendedUntil = now + CONTENTION_MILLIS
        rate.recordContention(waiting.size > 0, now)
        return QueueStep(made, expired)
    }

    /** Records that capacity became free at [replica]. */
    fun freed(replica: String) = offers.freed(replica)

    /** Records that the replica refused the reservation of offer [number]; its request waits on. */
    fun refused(number: Long, now: Long) {
        val offer = offers.open.find { it.number == number } ?: return
        offers.end(offer, refused = true, now)
        waiting.refund(offer.request)
        waiting.add(offer.request)
    }

    /** Records that request [id] ended its wait: [taken] if it got capacity, otherwise its caller left. */
    fun ended(id: String, taken: Boolean, now: Long) {
        if (ended.put(id, Unit) != null) return
        val offer = offers.of(id)
        val request = offer?.request ?: waiting.remove(id) ?: return
        if (offer != null) offers.end(offer, refused = false, now)
        if (offer != null && !taken) waiting.refund(request)
        if (taken) rate.record(request.cost, now)
    }

    /** Removes request [id] because its VM no longer asks for it; it may be added again. */
    fun withdraw(id: String, now: Long) {
        waiting.remove(id)
        offers.of(id)?.let {
            waiting.refund(it.request)
            offers.end(it, refused = false, now)
        }
    }

    private companion object {
        /** Replicas with 12 slots free one about every 300 ms. */
        const val PROBE_MILLIS = 300L

        /** How long contention is assumed to last after the queue was empty. */
        const val CONTENTION_MILLIS = 1_000L
        const val MAX_ENDED = 4_000

        /** Memory for a few hundred bytes each on the smallest VM. */
        const val MAX_WAITING = 4_000

        /** One request in ten seconds; keeps the estimated wait finite. */
        const val MIN_RATE_PER_MILLI = 1e-4
    }
}
