package fireflyhinge.forward

/** What a queue knows of the replicas whose capacity it offers. Each has one offer at a time. Not thread-safe. */
internal class ReplicaOffers(private val probeMillis: Long) {
    private class State {
        var offer: CapacityOffer? = null

        /** Capacity was reported free and was not offered since then. */
        var freed = false
        var offerableFrom = 0L
    }

    private val states = HashMap<String, State>()
    private var number = 0L

    val open: List<CapacityOffer> get() = states.values.mapNotNull { it.offer }

    fun of(id: String): CapacityOffer? = states.values.find { it.offer?.request?.id == id }?.offer

    /** Those of [replicas] that may be offered at [now]; those that were reported to have free capacity first. */
    fun offerable(replicas: List<String>, now: Long): List<String> =
        replicas
            .filter { id -> states[id]?.let { it.offer == null && (it.freed || it.offerableFrom <= now) } ?: true }
            .sortedBy { states[it]?.freed != true }

    fun offer(request: QueuedRequest, replica: String, now: Long): CapacityOffer {
        val state = states.getOrPut(replica) { State() }
        state.freed = false
        return CapacityOffer(++number, request, replica, now + OFFER_MILLIS).also { state.offer = it }
    }

    /** Records that [replica] was reported to have free capacity. */
    fun freed(replica: String) {
        states.getOrPut(replica) { State() }.freed = true
    }

    /** Ends [offer]. After a refusal the replica is offered again when it reports free capacity, or after a while. */
    fun end(offer: CapacityOffer, refused: Boolean, now: Long) {
        val state = states[offer.replica] ?: return
        state.offer = null
        state.offerableFrom = if (refused) now + probeMillis else now
    }

    /** Forgets replicas that are neither listed in [replicas] nor offered. */
    fun retain(replicas: Collection<String>) {
        if (states.size > replicas.size) states.entries.removeIf { it.value.offer == null && it.key !in replicas }
    }

    private companion object {
        /** Several round trips within a region and to a replica; a VM that takes longer waits anew. */
        const val OFFER_MILLIS = 400L
    }
}
