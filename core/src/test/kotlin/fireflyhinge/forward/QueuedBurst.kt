package fireflyhinge.forward

/**
 * VMs whose requests wait at the owner of a queue once two replicas have refused them.
 *
 * @param faults part of the messages between VMs that are lost; as many are received twice, and as many late.
 */
internal class QueuedBurst(seed: Long, load: BurstLoad, private val faults: Double = 0.0) :
    BurstSimulation(seed, load) {
    private class Wait(val request: Request, val id: String, val sent: Long) {
        var done = false
        val settled = HashSet<Long>()
    }

    private val queue = CapacityQueue { random.nextDouble() }
    private val waits = HashMap<String, Wait>()
    private val contendedUntil = LongArray(VMS)
    private var ticking = false

    override fun reserve(request: Request) {
        if (now < contendedUntil[request.vm]) wait(request) else direct(request, DIRECT_ATTEMPTS)
    }

    private fun direct(request: Request, attempts: Int) {
        val replica = views[request.vm].best(request)
        if (replica == null || attempts == 0) return wait(request)
        ask(replica, request) { if (it) granted(request, replica) else direct(request, attempts - 1) }
    }

    private fun wait(request: Request) {
        val wait = Wait(request, "${waits.size}", request.sent)
        waits[wait.id] = wait
        call(wait)
    }

    /** Calls the owner again after a while, as VMs do when a call ends without an offer. */
    private fun call(wait: Wait) {
        if (wait.done) return
        if (now > wait.sent + LATE_MILLIS) return end(wait) { refused(wait.request, RETURN_MILLIS) }
        contendedUntil[wait.request.vm] = now + CONTENTION_MILLIS
        message { add(wait) }
        after(CALL_MILLIS) { call(wait) }
    }

    private fun add(wait: Wait) {
        val request = wait.request
        val entry =
            QueuedRequest(
                id = wait.id,
                workspace = "${request.workspace}",
                weight = BurstLoad.WEIGHTS[request.workspace],
                cost = maxOf(1.0, request.tokens.toDouble() / (MEMORY_TOKENS / SLOTS)),
                arrivedMillis = wait.sent,
                targetMillis = wait.sent + WAIT_MILLIS,
                expiresMillis = wait.sent + LATE_MILLIS,
            )
        when (val result = queue.add(entry, now)) {
            is QueueEntryResult.Refused ->
                message { end(wait) { refused(request, result.retryAfterMillis) } }
            is QueueEntryResult.Offered -> send(result.offer)
            else -> advance()
        }
    }

    private fun advance() {
        val known = views[OWNER].tokens
        val step = queue.advance(now, replicas.sortedBy { known[it.id] ?: 0 }.map { it.id })
        step.expired.map { waits.getValue(it.id) }.forEach { wait ->
            message { end(wait) { refused(wait.request, RETURN_MILLIS) } }
        }
        step.offers.forEach(::send)
        if (!ticking && !queue.empty) {
            ticking = true
            after(TICK_MILLIS) {
                ticking = false
                advance()
            }
        }
    }

    private fun send(offer: CapacityOffer) =
        message {
            val wait = waits.getValue(offer.request.id)
            if (!wait.done && wait.settled.add(offer.number)) tryReserve(offer, wait)
        }

    private fun tryReserve(offer: CapacityOffer, wait: Wait) {
        val replica = replicas.first { it.id == offer.replica }
        ask(replica, wait.request) { ok ->
            when {
                !ok -> message { queue.refused(offer.number, now).also { advance() } }
                // Another offer was taken meanwhile, or the request has expired.
                wait.done -> replica.release(wait.request)
                else -> end(wait) { granted(wait.request, replica) }
            }
        }
    }

    private fun end(wait: Wait, then: () -> Unit) {
        if (wait.done) return
        wait.done = true
        then()
        message { queue.ended(wait.id, taken = wait.request.firstEvent != null, now).also { advance() } }
    }

    override fun released(vm: Int, replica: Replica) {
        if (now < contendedUntil[vm]) message { queue.freed(replica.id).also { advance() } }
    }

    private fun message(run: () -> Unit) {
        messages++
        val fault = if (faults == 0.0) NO_FAULT else random.nextDouble()
        if (fault >= faults) after(PATH_MILLIS, run)
        if (fault >= faults && fault < 2 * faults) after(PATH_MILLIS, run)
        if (fault >= 2 * faults && fault < FAULT_KINDS * faults) after(DELAY_MILLIS, run)
    }

    private companion object {
        const val OWNER = 0
        const val DIRECT_ATTEMPTS = 2
        const val WAIT_MILLIS = 720L
        const val LATE_MILLIS = 2_700L
        const val CALL_MILLIS = 300L
        const val CONTENTION_MILLIS = 2_000L
        const val TICK_MILLIS = 25L
        const val RETURN_MILLIS = 2_000L
        const val DELAY_MILLIS = 200L
        const val NO_FAULT = 1.0
        const val FAULT_KINDS = 3
    }
}
